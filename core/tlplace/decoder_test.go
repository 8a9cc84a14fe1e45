package tlplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

const roleChangeTime = 6 * time.Second

// changeableBook returns a book of engines, given as role and version, that may change their roles.
func changeableBook(list ...string) *Book {
	b := versionedBook(list...)
	b.o.RoleChangeTime = roleChangeTime
	return b
}

// begunRequest returns a request for a version that takes a stream up.
func begunRequest(id, version string, arrived time.Duration) Request {
	r := request(id, 1000, arrived)
	r.Version, r.HasBegun = version, true
	return r
}

// Guards against a Retry-After at which no engine can have the version yet, and against
// waits that can only end in a refusal.
func TestTakeUpOfAVersionWithoutADecodeEngine(t *testing.T) {
	cases := []struct {
		name    string
		engines []string
		// orderedAt is when a prefill engine of v1 was ordered to decode; 0 if none was.
		orderedAt, asks time.Duration
		continues       bool
		refused         Reason
		// returns is the earliest time to return; 0 if the request waits.
		returns time.Duration
	}{
		{"1 an engine may be ordered", []string{"pv1", "dv2"}, 0, time.Second, false, NoDecoder, 7 * time.Second},
		{"2 one was ordered a moment ago", []string{"pv1", "dv2"}, time.Second, 1500 * time.Millisecond, false, NoDecoder, 7 * time.Second},
		{"3 one was ordered long enough ago", []string{"pv1", "dv2"}, time.Second, 5 * time.Second, false, NotRefused, 0},
		{"4 the caller holds its answer", []string{"pv1", "dv2"}, 0, time.Second, true, NotRefused, 0},
		{"5 no other version has a decode engine either", []string{"pv1", "pv2"}, 0, time.Second, false, NoDecoder, 7 * time.Second},
		{"6 the same, and the caller holds its answer", []string{"pv1"}, 0, time.Second, true, NotRefused, 0},
		{"7 no engine of the version lives", []string{"pv2", "dv2"}, 0, time.Second, false, NoVersion, time.Second},
		{"8 no engine of the version lives, and the caller holds its answer", []string{"pv2", "dv2"}, 0, time.Second, true, NoVersion, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := changeableBook(c.engines...)
			if c.orderedAt > 0 {
				b.RoleChanging(at(c.orderedAt), "pv1", tlendpoint.Decode, at(c.orderedAt+8*time.Second))
			}
			r := begunRequest("r", "v1", c.asks)
			r.Continues = c.continues
			list := b.Submit(at(c.asks), r)
			if c.refused == NotRefused {
				assert.Empty(t, list)
				return
			}
			require.Len(t, list, 1)
			assert.Equal(t, c.refused, list[0].Refused)
			assert.GreaterOrEqual(t, list[0].RetryAfter, c.returns-c.asks)
			if c.refused == NoDecoder {
				assert.Less(t, list[0].RetryAfter, c.returns-c.asks+time.Second)
			}
		})
	}
}

// Guards against new requests that are refused again and again, though an engine is about to
// decode for a service that has lost all decode engines.
func TestNewRequestOfAServiceWithoutDecodeEngines(t *testing.T) {
	cases := []struct {
		name            string
		orderedAt, asks time.Duration
		refused         Reason
		returns         time.Duration
	}{
		{"1 none is ordered", 0, 5 * time.Second, NoEngines, time.Second},
		{"2 one was ordered a moment ago", 4 * time.Second, 5 * time.Second, NoEngines, 5 * time.Second},
		{"3 one was ordered long enough ago", time.Second, 5 * time.Second, NotRefused, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := changeableBook("pv1", "pv1b")
			if c.orderedAt > 0 {
				b.RoleChanging(at(c.orderedAt), "pv1", tlendpoint.Decode, at(c.orderedAt+8*time.Second))
			}
			list := b.Submit(at(c.asks), request("r", 1000, c.asks))
			if c.refused == NotRefused {
				assert.Empty(t, list)
				return
			}
			require.Len(t, list, 1)
			assert.Equal(t, c.refused, list[0].Refused)
			assert.GreaterOrEqual(t, list[0].RetryAfter, c.returns)
			assert.Less(t, list[0].RetryAfter, c.returns+time.Second)
		})
	}
}

func TestRequestThatWaitsForADecodeEngineOfItsVersionIsPlacedThere(t *testing.T) {
	b := changeableBook("pv1", "pv1b", "dv2")
	b.RoleChanging(start, "pv1", tlendpoint.Decode, at(8*time.Second))
	r := begunRequest("r", "v1", 5*time.Second)
	require.Empty(t, b.Submit(at(5*time.Second), r))
	assert.Empty(t, b.Tick(at(5500*time.Millisecond)))
	list := []tlendpoint.Endpoint{b.engines["pv1"].Endpoint, b.engines["pv1b"].Endpoint, b.engines["dv2"].Endpoint}
	list[0].Role = tlendpoint.Decode
	b.SetEngines(at(6100*time.Millisecond), list)
	d := b.Tick(at(6100 * time.Millisecond))
	require.Len(t, d, 1)
	assert.Equal(t, "pv1", d[0].Decode)
	assert.Equal(t, "pv1b", d[0].Prefill)
}

// Guards against a stream that is held for as long as its caller waits and is then refused
// with a time to return that is not true.
func TestHeldStreamEndsWhenItsCallerWouldLeave(t *testing.T) {
	b := changeableBook("pv1", "dv2")
	b.RoleChanging(start, "pv1", tlendpoint.Decode, at(8*time.Second))
	r := begunRequest("r", "v1", 0)
	r.Continues = true
	require.Empty(t, b.Submit(start, r))
	for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
		require.Empty(t, b.Tick(at(now)))
	}
	d := b.Tick(at(3500 * time.Millisecond))
	require.Len(t, d, 1)
	assert.Equal(t, WaitTooLong, d[0].Refused)
	assert.GreaterOrEqual(t, d[0].RetryAfter, 2500*time.Millisecond)
	assert.Less(t, d[0].RetryAfter, 3500*time.Millisecond)
}

// Guards against a time to return that takes an engine for free which has ended and is
// still listed.
func TestRefusalForAVersionWhoseEnginesFailTellsWhenTheNextIsThere(t *testing.T) {
	b := changeableBook("pv1", "dv1", "dv2")
	for range 3 {
		b.Failed(start, "x", "dv1", ConnectionBroke)
	}
	b.RoleChanging(start, "pv1", tlendpoint.Decode, at(8*time.Second))
	require.Empty(t, b.Submit(start, begunRequest("r", "v1", 0)))
	d := b.Tick(at(3500 * time.Millisecond))
	for now := 3500 * time.Millisecond; len(d) == 0 && now < 5*time.Second; now += 50 * time.Millisecond {
		d = b.Tick(at(now))
	}
	require.Len(t, d, 1)
	assert.GreaterOrEqual(t, d[0].RetryAfter, 2*time.Second)
}

func TestVersionIsNeededUntilItsLastCallerCanNoLongerComeBack(t *testing.T) {
	b := changeableBook("pv1", "dv2")
	assert.Empty(t, b.RoleState(start).Needs)
	b.Submit(start, request("any", 1000, 0))
	assert.Empty(t, b.RoleState(start).Needs, "a request that any version may run")
	b.Submit(start, begunRequest("a", "v1", 0))
	held := begunRequest("b", "v1", time.Second)
	held.Continues = true
	b.Submit(at(time.Second), held)
	assert.Equal(t, []tlrole.Need{{Version: "v1", Waiting: 1, Waited: time.Second}}, b.RoleState(at(2*time.Second)).Needs)
	assert.Len(t, b.RoleState(at(14900*time.Millisecond)).Needs, 1)
	assert.Empty(t, b.RoleState(at(15100*time.Millisecond)).Needs)
}

func TestServiceLacksDecoder(t *testing.T) {
	fail := func(id string) func(b *Book) { return func(b *Book) { b.Failed(start, "x", id, ConnectionBroke) } }
	cases := []struct {
		name    string
		engines []string
		needs   string
		change  func(b *Book)
		lacks   bool
	}{
		{"1 a needed version has prefill engines alone", []string{"pv1", "dv2"}, "v1", nil, true},
		{"2 its decode engines fail", []string{"pv1", "dv1", "dv2"}, "v1", fail("dv1"), true},
		{"3 one of them works", []string{"pv1", "dv1", "dv1b", "dv2"}, "v1", fail("dv1"), false},
		{"4 nobody needs it", []string{"pv1", "dv2"}, "", nil, false},
		{"5 an engine is changing its role", []string{"pv1", "pv1b", "dv2"}, "v1", func(b *Book) {
			b.RoleChanging(start, "pv1", tlendpoint.Decode, at(8*time.Second))
		}, false},
		{"6 one was to, and does not", []string{"pv1", "pv1b", "dv2"}, "v1", func(b *Book) {
			b.RoleChanging(start, "pv1", tlendpoint.Decode, at(8*time.Second))
			b.RoleKept("pv1")
		}, true},
		{"7 no engine of it lives", []string{"pv2", "dv2"}, "v1", nil, false},
		{"8 the service has no decode engine", []string{"pv1"}, "", func(b *Book) { b.Submit(start, request("any", 1000, 0)) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := changeableBook(c.engines...)
			if c.needs != "" {
				b.Submit(start, begunRequest("r", c.needs, 0))
			}
			if c.change != nil {
				c.change(b)
			}
			assert.Equal(t, c.lacks, b.LacksDecoder(at(time.Second)))
		})
	}
}
