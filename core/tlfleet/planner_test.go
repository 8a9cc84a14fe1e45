package tlfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"trefoillanding/core/tlwire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var limits = Limits{MaxLoading: 1, UnloadAfter: time.Minute}

func service(version string) tlwire.Service {
	return tlwire.Service{Models: []tlwire.Model{{Name: "m", Version: version, Adapters: []string{"a"}}}}
}

func model(version, adapter string, ready bool) tlwire.LoadedModel {
	return tlwire.LoadedModel{Model: "m", Version: version, Adapter: adapter, Ready: ready}
}

func pool(fenced bool, roles ...tlwire.Role) tlwire.Pool {
	var p tlwire.Pool
	for i, r := range roles {
		p.Engines = append(p.Engines, tlwire.Engine{Name: fmt.Sprint("e", i), Role: r, ChecksFencing: fenced})
	}
	return p
}

func report(r tlwire.Role, free int, models ...tlwire.LoadedModel) tlwire.LoadReport {
	return tlwire.LoadReport{Role: r, Models: models, PiecesTotal: 10, PiecesFree: free}
}

func TestPlan(t *testing.T) {
	const p, d = tlwire.RolePrefill, tlwire.RoleDecode
	v1 := []tlwire.LoadedModel{model("1", "", true), model("1", "a", true)}
	both := append([]tlwire.LoadedModel{model("2", "", true), model("2", "a", true)}, v1...)
	cases := []struct {
		name    string
		pool    tlwire.Pool
		version string
		reports map[string]tlwire.LoadReport
		after   time.Duration
		want    []string
	}{
		{"1 as declared", pool(true, p, d), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, v1...), "e1": report(d, 10, v1...)}, 0, nil},
		{"2 empty engine first", pool(true, p, d), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, model("1", "", true)), "e1": report(d, 10)}, 0, []string{"e1 LoadModel m 1 "}},
		{"3 adapter after its model", pool(true, p, d), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, model("1", "", true)), "e1": report(d, 10, v1...)}, 0, []string{"e0 LoadModel m 1 a"}},
		{"4 one load at a time", pool(true, p, d), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, model("1", "", false)), "e1": report(d, 10)}, 0, nil},
		{"5 new version beside the old", pool(true, p, d), "2", map[string]tlwire.LoadReport{"e0": report(p, 10, v1...), "e1": report(d, 10, both...)}, 0, []string{"e0 LoadModel m 2 "}},
		{"6 old version stays for a while", pool(true, p), "2", map[string]tlwire.LoadReport{"e0": report(p, 10, both...)}, 59 * time.Second, nil},
		{"7 old adapter goes first", pool(true, p), "2", map[string]tlwire.LoadReport{"e0": report(p, 10, both...)}, time.Minute, []string{"e0 UnloadModel m 1 a"}},
		{"8 role changes while another remains", pool(true, p, d, d), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, v1...), "e1": report(p, 10, v1...), "e2": report(d, 10, v1...)}, 0, []string{"e1 SetRole Decode"}},
		{"9 the last one of a role stays", pool(true, d, p), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, v1...), "e1": report(d, 10, v1...)}, 0, nil},
		{"10 without fencing two must remain", pool(false, p, d, d), "1", map[string]tlwire.LoadReport{"e0": report(p, 10, v1...), "e1": report(p, 10, v1...), "e2": report(d, 10, v1...)}, 0, nil},
		{"11 live work must find room", pool(true, d, d, p), "1", map[string]tlwire.LoadReport{"e0": report(d, 3, v1...), "e1": report(d, 2, v1...), "e2": report(d, 1, v1...)}, 0, nil},
		{"12 live work finds room", pool(true, d, d, p), "1", map[string]tlwire.LoadReport{"e0": report(d, 5, v1...), "e1": report(d, 5, v1...), "e2": report(d, 1, v1...)}, 0, []string{"e2 SetRole Prefill"}},
		{"13 without a fresh report no replica counts", pool(true, p, d, d), "1", map[string]tlwire.LoadReport{"e1": report(p, 10, v1...)}, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			planner := New(limits)
			planner.Plan(start, c.pool, service(c.version), c.reports)
			var got []string
			for _, s := range planner.Plan(start.Add(c.after), c.pool, service(c.version), c.reports) {
				text := fmt.Sprintf("%s %s %s%s %s %s", s.Engine.Name, s.Order.Kind, s.Order.Role, s.Order.Model, s.Order.Version, s.Order.Adapter)
				if s.Order.Kind == tlwire.OrderKindSetRole {
					text = fmt.Sprintf("%s SetRole %s", s.Engine.Name, s.Order.Role)
				}
				got = append(got, text)
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// Whatever the engines report at first, carrying out the plans leads to what is
// declared, and no role or model loses its last ready replica on the way.
func TestPlansConvergeWithoutTakingTheLastReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "engines")
		roles := []tlwire.Role{tlwire.RolePrefill, tlwire.RoleDecode}
		var declared, present []tlwire.Role
		for i := range n {
			declared = append(declared, roles[i%2])
			present = append(present, rapid.SampledFrom(roles).Draw(t, "role"))
		}
		present[0], present[1], present[2] = tlwire.RolePrefill, tlwire.RoleDecode, tlwire.RoleDecode
		p := pool(true, declared...)
		reports := map[string]tlwire.LoadReport{}
		for i, r := range present {
			models := []tlwire.LoadedModel{model("1", "", true)}
			if rapid.Bool().Draw(t, "empty") && i > 2 {
				models = nil
			}
			reports[p.Engines[i].Name] = report(r, 10, models...)
		}
		planner := New(limits)
		now := start
		for range 200 {
			now = now.Add(10 * time.Second)
			for _, s := range planner.Plan(now, p, service("2"), reports) {
				reports[s.Engine.Name] = carryOut(reports[s.Engine.Name], s.Order)
			}
			for _, r := range roles {
				assert.True(t, anyReady(reports, r), "no replica of %s is left", r)
			}
			finishLoads(reports)
		}
		for _, e := range p.Engines {
			assert.Equal(t, e.Role, reports[e.Name].Role)
			assert.ElementsMatch(t, []tlwire.LoadedModel{model("2", "", true), model("2", "a", true)}, reports[e.Name].Models)
		}
	})
}

func carryOut(r tlwire.LoadReport, o tlwire.Order) tlwire.LoadReport {
	switch o.Kind {
	case tlwire.OrderKindSetRole:
		r.Role = o.Role
	case tlwire.OrderKindLoadModel:
		r.Models = append(r.Models[:len(r.Models):len(r.Models)], model(o.Version, o.Adapter, false))
	case tlwire.OrderKindUnloadModel:
		var rest []tlwire.LoadedModel
		for _, m := range r.Models {
			if m.Version != o.Version || m.Adapter != o.Adapter {
				rest = append(rest, m)
			}
		}
		r.Models = rest
	}
	return r
}

func finishLoads(reports map[string]tlwire.LoadReport) {
	for _, r := range reports {
		for i := range r.Models {
			r.Models[i].Ready = true
		}
	}
}

func anyReady(reports map[string]tlwire.LoadReport, role tlwire.Role) bool {
	for _, r := range reports {
		e := engine{report: r}
		if e.serves(role) && e.isReady() {
			return true
		}
	}
	return false
}

func TestPaceSharesTheStoresRate(t *testing.T) {
	w := tlwire.WeightInfo{Bytes: 100, BytesPerSecond: 50}
	assert.Equal(t, 2*time.Second, LoadInterval(w, 6, 6))
	assert.Equal(t, 6*time.Second, LoadInterval(w, 6, 18))
	assert.Zero(t, LoadInterval(tlwire.WeightInfo{}, 6, 18))
}
