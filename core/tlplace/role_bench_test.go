package tlplace

import (
	"fmt"
	"testing"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

// benchmarkEngines is the number of engines of one service in the benchmarks of role plans.
const benchmarkEngines = 1000

// largeBook returns a book of many engines of two versions, a fifth of them prefill engines.
func largeBook() *Book {
	b := newBook(0, 0)
	var list []tlendpoint.Endpoint
	for n := range benchmarkEngines {
		e := tlendpoint.Endpoint{ID: fmt.Sprint("e", n), DataCentre: fmt.Sprint("z", n%5), Role: tlendpoint.Decode, Version: fmt.Sprint("v", n%2)}
		if n%5 == 0 {
			e.Role = tlendpoint.Prefill
		}
		list = append(list, e)
	}
	b.SetEngines(start, list)
	return b
}

func BenchmarkRolePlanOfAThousandEngines(b *testing.B) {
	k := largeBook()
	k.Submit(start, request("r", 1000, 0))
	for b.Loop() {
		s := k.RoleState(at(time.Second))
		s.SinceMove, s.SinceChange = time.Hour, time.Hour
		tlrole.Plan(tlrole.DefaultOptions(), s)
	}
}

// A version that streams need and that no engine decodes for is the dearest plan.
func BenchmarkRolePlanOfALostVersion(b *testing.B) {
	k := largeBook()
	k.Submit(start, begunRequest("r", "gone", 0))
	for b.Loop() {
		s := k.RoleState(at(time.Second))
		s.SinceMove, s.SinceChange, s.SinceJoin = time.Hour, time.Hour, time.Hour
		s.ToCheck()
		tlrole.Plan(tlrole.DefaultOptions(), s)
	}
}

func BenchmarkLacksDecoder(b *testing.B) {
	k := largeBook()
	k.Submit(start, begunRequest("r", "v1", 0))
	for b.Loop() {
		k.LacksDecoder(at(time.Second))
	}
}
