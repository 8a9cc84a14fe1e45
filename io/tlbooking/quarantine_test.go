package tlbooking

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlquarantine"
	"trefoillanding/core/tlroute"
)

// decisions records what coordinators say of parts.
type decisions struct {
	mu   sync.Mutex
	list []string
}

func (d *decisions) watch(name string, c *Coordinator) {
	c.o.OnQuarantine = func(_, part string, _ time.Time) { d.add(name + " quarantines " + part) }
	c.o.OnLifted = func(_, part string) { d.add(name + " lifts " + part) }
}

func (d *decisions) add(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, text)
}

func (d *decisions) all() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.list...)
}

// placeWith has a coordinator place a request with the given parts.
func (f *testFleet) placeWith(t *testing.T, name, id string, parts ...string) tlplace.Decision {
	now := time.Now()
	d, err := f.coordinators[name].Place(context.Background(), testService, tlplace.Request{
		ID: id, Prompt: 1000, Output: 100, Due: now.Add(2 * time.Second), GiveUp: now.Add(5 * time.Second), Deadline: now.Add(9 * time.Second), Parts: parts,
	})
	require.NoError(t, err)
	return d
}

// crash reports that engines ended under requests with a part, one after the other.
func (f *testFleet) crash(t *testing.T, name string, n int) {
	for k := range n {
		id := fmt.Sprint(name, k)
		d := f.placeWith(t, name, id, "a", "x", id)
		f.coordinators[name].Report(testService, id, BrokeUnbegun, d.Decode)
		f.coordinators[name].Report(testService, id, DecodeConnectionBroke, d.Decode)
		time.Sleep(250 * time.Millisecond)
	}
}

// Crashes that owners see one each add up where all requests are placed, and only there
// is a part blamed.
func TestEachInstanceCountsItsOwnCrashesOnly(t *testing.T) {
	owners := []string{"a", "b", "c"}
	f := newTestFleet(t, 0, 6, append([]string{"other"}, owners...)...)
	var d decisions
	for name, c := range f.coordinators {
		d.watch(name, c)
	}
	for _, name := range owners {
		f.crash(t, name, 1)
	}
	require.Eventually(t, func() bool { return len(d.all()) > 0 }, 2*time.Second, time.Millisecond)
	assert.Equal(t, []string{"other quarantines x"}, d.all())
	assert.Equal(t, 1, f.counted("other", Quarantined))
	for _, name := range owners {
		assert.Equal(t, tlplace.PartQuarantined, f.placeWith(t, name, name+" again", "x", "c").Refused)
		assert.Equal(t, tlplace.NotRefused, f.placeWith(t, name, name+" sound", "a", "c").Refused)
	}
}

// An owner that has seen all the crashes has not seen others' answers on the part.
func TestAnOwnerThatIsNotHomeQuarantinesByItself(t *testing.T) {
	f := newTestFleet(t, 0, 6, "other", "a")
	var d decisions
	d.watch("a", f.coordinators["a"])
	d.watch("other", f.coordinators["other"])
	f.placeWith(t, "other", "sound", "a", "x")
	f.coordinators["other"].Report(testService, "sound", Completed, "")
	f.crash(t, "a", tlquarantine.MinCrashes+1)
	assert.Empty(t, d.all())
}

func TestRecordThatComesBeforeTheEnginesOfItsServiceIsForgotten(t *testing.T) {
	f := newTestFleet(t, 0, 1, "other")
	c := f.coordinators["other"]
	c.SetQuarantine("new", "x", time.Now().Add(time.Minute))
	c.SetQuarantine("new", "y", time.Now().Add(time.Minute))
	c.LiftQuarantine("new", "y")
	c.SetEngines(tlroute.Service{Name: "new", Engine: &tlroute.Engine{Memory: 10_000, Slots: 8, Stride: 1}}, testEngines(0, 1))
	for part, want := range map[string]tlplace.Reason{"x": tlplace.PartQuarantined, "y": tlplace.NotRefused} {
		d, err := c.Place(context.Background(), "new", tlplace.Request{
			ID: part, Prompt: 1000, Output: 100, Parts: []string{part},
			Due: time.Now().Add(time.Minute), GiveUp: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute),
		})
		require.NoError(t, err)
		assert.Equal(t, want, d.Refused, part)
	}
}

// An engine may crash soon after its first event: a begun answer must not clear a part.
func TestPartIsClearedThoughItsEngineCrashedAfterTheFirstEvent(t *testing.T) {
	cases := []struct {
		name  string
		event Event
		want  []string
	}{
		{"1 broken after the first event", DecodeConnectionBroke, []string{"other quarantines x"}},
		{"2 begun at an engine that read the prompt itself", PrefilledAtDecode, []string{"other quarantines x"}},
		{"3 complete", Completed, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 0, 6, "other")
			var d decisions
			d.watch("other", f.coordinators["other"])
			p := f.placeWith(t, "other", "first", "a", "x")
			f.coordinators["other"].Report(testService, "first", c.event, p.Decode)
			f.crash(t, "other", tlquarantine.MinCrashes)
			assert.Equal(t, c.want, d.all())
		})
	}
}
