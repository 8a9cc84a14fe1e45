package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

// putQuarantine writes a record to the store as another instance would, and waits until all have read it.
func (f *crashFleet) putQuarantine(part string, until time.Time) {
	e := tlwire.Quarantine{Service: tlstand.ModelService, Part: part, Until: until}
	value, err := tlcodec.Encode(e)
	require.NoError(f.w.t, err)
	f.w.store.Put(platform.TopicQuarantine, quarantineKey(e.Service, part), value)
	for _, i := range f.all {
		f.w.eventually(func() bool { return len(i.quarantines.all()) == 1 })
	}
}

// refuses reports whether all instances refuse a request with a part.
func (f *crashFleet) refuses(part string) bool {
	for range f.all {
		if f.call(part, "ab12").header.Get("Trefoil-Verdict") != "NotRun" {
			return false
		}
	}
	return true
}

// lacksQuarantine reports whether the store has no quarantine any more.
func (f *crashFleet) lacksQuarantine() bool {
	b, err := f.all[0].store.Newest(f.all[0].ctx, platform.TopicQuarantine)
	return err == nil && len(b.Records) == 0
}

func TestQuarantineOutlastsItsTimeInTheStore(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 0)
	until := time.Now().Add(2 * time.Second)
	f.putQuarantine(sharedPart, until)
	assert.True(t, f.refuses(sharedPart))
	assert.True(t, time.Now().Before(until))
	f.w.eventually(f.lacksQuarantine)
	assert.True(t, time.Now().After(until))
	for range f.all {
		assert.Equal(t, threeEvents, f.call(sharedPart, "ab12").body)
	}
}

func TestQuarantineStaysThoughAnAnswerHasBegun(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 0)
	for _, e := range f.engines {
		e.EventInterval = 500 * time.Millisecond
	}
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.call(sharedPart, "ab12") }()
	f.w.eventually(func() bool { return f.arrivals(sharedPart) >= 2 })
	f.putQuarantine(sharedPart, time.Now().Add(time.Minute))
	assert.True(t, f.refuses(sharedPart))
	assert.Equal(t, threeEvents, (<-inFlight).body)
	f.w.eventually(f.lacksQuarantine)
	f.w.eventually(func() bool { return f.call(sharedPart, "ab12").body == threeEvents })
}

func TestQuarantineIsLostWhenTheStoreGoesBack(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 0)
	early := f.w.store.Copy()
	f.putQuarantine(sharedPart, time.Now().Add(time.Minute))
	f.w.store.GoBack(early)
	f.w.waitForEra(2, f.all...)
	f.w.eventually(func() bool { return !f.lacksQuarantine() })
	f.all = append(f.all, f.w.startInstance("late"))
	f.w.eventually(func() bool { return len(f.all[3].quarantines.all()) == 1 })
	assert.True(t, f.refuses(sharedPart))
}

func TestUnreadableQuarantinesAreNotIgnored(t *testing.T) {
	f := newCrashFleet(t, 1, 2, 0)
	f.w.store.Put(platform.TopicQuarantine, "bad", []byte("{"))
	value, err := tlcodec.Encode(tlwire.Quarantine{Service: tlstand.ModelService, Part: sharedPart, Until: time.Now().Add(time.Minute)})
	require.NoError(t, err)
	f.w.store.Put(platform.TopicQuarantine, "another/key", value)
	f.w.eventually(func() bool { return f.all[0].counters.store.Value(badEntry) == 2 })
	assert.Equal(t, threeEvents, f.call(sharedPart, "ab12").body)
}

// A decision must reach the store though the store is away when it is made.
func TestQuarantineIsNotWrittenWhileTheStoreIsAway(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	f.w.store.SetIntercept(func(rw http.ResponseWriter, r *http.Request) bool {
		if !tlstand.IsForTopic(r, platform.TopicQuarantine) {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	f.crash(crashingSecond)
	assert.Zero(t, f.w.store.Records(platform.TopicQuarantine))
	f.w.store.SetIntercept(nil)
	f.w.eventually(func() bool { return f.w.store.Records(platform.TopicQuarantine) > 0 })
}
