package tlplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlendpoint"
)

// versionedBook returns a book of engines, given as role and version.
func versionedBook(list ...string) *Book {
	b := newBook(0, 0)
	var all []tlendpoint.Endpoint
	for _, text := range list {
		role := tlendpoint.Decode
		if text[0] == 'p' {
			role = tlendpoint.Prefill
		}
		all = append(all, tlendpoint.Endpoint{ID: text, Service: "s", DataCentre: "z", Role: role, Version: text[1:3]})
	}
	b.SetEngines(start, all)
	return b
}

func TestPromptIsReadForADecodeEngineOfAnotherVersion(t *testing.T) {
	cases := []struct {
		name            string
		engines         []string
		version         string
		prefill, decode string
		refused         Reason
	}{
		{"1 a pair of one version", []string{"pv1", "dv2", "dv1"}, "", "pv1", "dv1", NotRefused},
		{"2 only pairs of two versions", []string{"pv1", "dv2"}, "", "", "dv2", NotRefused},
		{"3 the version that began it", []string{"pv1", "pv2", "dv1", "dv2"}, "v2", "pv2", "dv2", NotRefused},
		{"4 no prefill engine of that version", []string{"pv1", "dv1", "dv2"}, "v2", "", "dv2", NotRefused},
		{"5 no engine of that version", []string{"pv1", "dv1"}, "v2", "", "", NoVersion},
		{"6 only a prefill engine of that version", []string{"pv2", "dv1"}, "v2", "", "", NoVersion},
		{"7 a version that is not given is one of its own", []string{"pv1", "d  "}, "", "", "d  ", NotRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := request("r", 4000, 0)
			r.Version = c.version
			d := submitOne(t, versionedBook(c.engines...), 0, r)
			assert.Equal(t, c.refused, d.Refused)
			assert.Equal(t, c.prefill, d.Prefill)
			assert.Equal(t, c.decode, d.Decode)
		})
	}
}

func TestKeptPrefillIsUsedByAnotherVersion(t *testing.T) {
	r := request("r", 4000, 0)
	r.PrefillKeptUntil, r.PrefillVersion = at(time.Second), "v1"
	d := submitOne(t, versionedBook("dv2"), 0, r)
	assert.Equal(t, "dv2", d.Decode)
	assert.False(t, d.ReusesPrefill)
	d = submitOne(t, versionedBook("dv2", "dv1"), 0, r)
	assert.Equal(t, "dv1", d.Decode)
	assert.True(t, d.ReusesPrefill)
}

// Guards against a queue of other requests that keeps one from the engines of its version.
func TestStreamThatHasBegunWaitsBehindThoseThatAnyVersionServes(t *testing.T) {
	b := versionedBook("pv1", "pv2", "dv1", "dv2")
	for n := range 40 {
		b.Submit(at(0), request(string(rune('a'+n)), 8000, 0))
	}
	r := request("begun", 4000, 0)
	r.Version, r.HasBegun = "v2", true
	for _, d := range b.Submit(at(0), r) {
		assert.NotEqual(t, "begun", d.Request, "refused at once, by the wait of the others")
	}
	var freed []string
	for id, k := range b.bookings {
		if k.Decode == "dv2" {
			freed = append(freed, id)
		}
	}
	for _, id := range freed {
		b.Ended(at(100*time.Millisecond), id)
	}
	decided := map[string]string{}
	for _, d := range b.Tick(at(200 * time.Millisecond)) {
		decided[d.Request] = d.Decode
	}
	assert.Equal(t, "dv2", decided["begun"])
}

// Guards against a wait for prefill engines that can read for no engine with room.
func TestPromptWaitsForPrefillEnginesOfAnotherVersion(t *testing.T) {
	b := versionedBook("pv1", "dv1", "dv2", "dv2b")
	atV2 := 0
	for n := range 4 {
		for _, d := range b.Submit(at(0), request(string(rune('a'+n)), 4000, 0)) {
			if d.Decode != "dv1" && d.Refused == NotRefused {
				assert.Empty(t, d.Prefill)
				atV2++
			}
		}
	}
	assert.Equal(t, 2, atV2, "the engines of v2 read a prompt each themselves")
}
