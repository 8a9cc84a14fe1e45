package tlconfig

import (
	"cmp"
	"strings"
	"time"

	"trefoillanding/core/tlwire"
)

// checks are run in this order over all files together.
var checks = []func(*checker){
	checkNotEmpty,
	checkDataCentres,
	checkServices,
	checkModels,
	checkBounds,
	checkCalls,
	checkEndpoints,
	checkPools,
	checkEngines,
	checkUse,
	checkOrganisations,
}

func checkNotEmpty(c *checker) {
	if len(c.documents) > 0 && len(c.whole.Services) == 0 {
		c.documents[0].Add("Services", "must declare at least one service in some file")
	}
}

func checkDataCentres(c *checker) {
	for i, d := range c.whole.DataCentres {
		p := c.dataCentres[i]
		c.name("data centre", d.Name, p.field("Name"))
		within(p.field("Delay"), d.Delay, 0, time.Second)
		within(p.field("CallerDelay"), d.CallerDelay, 0, time.Second)
	}
}

// serviceOrModel is the kind of all names that a completion may ask for.
const serviceOrModel = "service or model"

func checkServices(c *checker) {
	for i, s := range c.whole.Services {
		p := c.services[i]
		c.name(serviceOrModel, s.Name, p.field("Name"))
		switch s.Kind {
		case tlwire.ServiceKindCompletions:
			forbid(p, "Calls", "Endpoints")
			demand(p, "Models", len(s.Models))
		case tlwire.ServiceKindPlain:
			forbid(p, "Models", "Targets", "Weights")
			demand(p, "Endpoints", len(s.Endpoints))
		default:
			if p.field("Kind").isSet() {
				p.field("Kind").problem("must be Completions or Plain, but is %q", s.Kind)
			}
		}
	}
}

func forbid(p place, fields ...string) {
	for _, f := range fields {
		if p.field(f).isSet() {
			p.field(f).problem("has no meaning for this kind of service")
		}
	}
}

func demand(p place, field string, n int) {
	if n == 0 {
		p.field(field).problem("must not be empty for this kind of service")
	}
}

func checkModels(c *checker) {
	for i, s := range c.whole.Services {
		for j, m := range s.Models {
			p := c.services[i].element("Models", j)
			if m.Name != s.Name {
				c.name(serviceOrModel, m.Name, p.field("Name"))
			}
			if p.field("Version").isSet() && !nameForm.MatchString(m.Version) {
				p.field("Version").problem("must be letters, digits, dots, dashes and underscores, but is %q", m.Version)
			}
			for k, a := range m.Adapters {
				c.name(serviceOrModel, a, p.element("Adapters", k))
			}
		}
	}
}

func checkBounds(c *checker) {
	for i, s := range c.whole.Services {
		p := c.services[i]
		t, w, b := valueOf(s.Targets), valueOf(s.Weights), valueOf(s.Bounds)
		within(p.field("Targets.FirstToken"), t.FirstToken, time.Millisecond, time.Hour)
		within(p.field("Targets.BetweenTokens"), t.BetweenTokens, time.Millisecond, time.Hour)
		within(p.field("Weights.Goodput"), w.Goodput, 0, 1000)
		within(p.field("Weights.WastedPrefill"), w.WastedPrefill, 0, 1000)
		within(p.field("Bounds.QueueWait"), b.QueueWait, time.Millisecond, time.Hour)
		within(p.field("Bounds.QueueLength"), b.QueueLength, 1, 1_000_000)
		within(p.field("Bounds.MaxTokens"), b.MaxTokens, 1, 10_000_000)
		within(p.field("Bounds.PromptTokens"), b.PromptTokens, 1, 10_000_000)
		within(p.field("Bounds.RetryShare"), b.RetryShare, 0.001, 1)
		within(p.field("Bounds.CallTimeout"), b.CallTimeout, time.Millisecond, time.Hour)
		within(p.field("Bounds.AnswerBytes"), b.AnswerBytes, 1, 1<<20)
	}
}

func within[T cmp.Ordered](p place, v, low, high T) {
	if p.isSet() && (v < low || v > high) {
		p.problem("must be from %v to %v, but is %v", low, high, v)
	}
}

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func checkCalls(c *checker) {
	for i, s := range c.whole.Services {
		for j, l := range s.Calls {
			p := c.services[i].element("Calls", j)
			if p.field("Method").isSet() && !methods[l.Method] {
				p.field("Method").problem("must be an HTTP method in capitals, but is %q", l.Method)
			}
			if p.field("Path").isSet() && !isPattern(l.Path) {
				p.field("Path").problem("must be a path such as /stock/{item}, but is %q", l.Path)
				continue
			}
			c.unique("call", s.Name+" "+l.Method+" "+withoutNames(l.Path), p.field("Path"))
		}
	}
}

func isPattern(path string) bool {
	if !strings.HasPrefix(path, "/") || isAmbiguous(path) {
		return false
	}
	for p := range strings.SplitSeq(path, "/") {
		if !isVariable(p) && strings.ContainsAny(p, "{}?#* ") {
			return false
		}
	}
	return true
}

// withoutNames drops the names of variables, which have no effect on a match.
func withoutNames(path string) string {
	parts := strings.Split(path, "/")
	for i, p := range parts {
		if isVariable(p) {
			parts[i] = "{}"
		}
	}
	return strings.Join(parts, "/")
}

func checkEndpoints(c *checker) {
	for i, s := range c.whole.Services {
		for j, e := range s.Endpoints {
			p := c.services[i].element("Endpoints", j)
			c.name("endpoint", e.Name, p.field("Name"))
			c.address(e.Address, p.field("Address"))
			c.dataCentre(e.DataCentre, p.field("DataCentre"))
		}
	}
}

func checkPools(c *checker) {
	kinds := map[string]tlwire.ServiceKind{}
	for _, s := range c.whole.Services {
		kinds[s.Name] = s.Kind
	}
	for i, p := range c.whole.Pools {
		at := c.pools[i]
		c.name("pool", p.Name, at.field("Name"))
		c.dataCentre(p.DataCentre, at.field("DataCentre"))
		within(at.field("PieceTokens"), p.PieceTokens, 1, 1_000_000)
		within(at.field("LinkBytesPerSecond"), p.LinkBytesPerSecond, 1, 1<<50)
		k, ok := kinds[p.Service]
		if !at.field("Service").isSet() {
			continue
		}
		if !ok {
			at.field("Service").problem("no service is named %q", p.Service)
		} else if k != tlwire.ServiceKindCompletions {
			at.field("Service").problem("service %q is not of kind Completions", p.Service)
		}
	}
}

func checkEngines(c *checker) {
	for i, p := range c.whole.Pools {
		halves := map[tlwire.Role]int{}
		for j, e := range p.Engines {
			at := c.pools[i].element("Engines", j)
			c.name("endpoint", e.Name, at.field("Name"))
			c.address(e.Address, at.field("Address"))
			switch e.Role {
			case tlwire.RolePrefill, tlwire.RoleDecode:
				halves[e.Role]++
			case tlwire.RoleBoth:
				halves[tlwire.RolePrefill]++
				halves[tlwire.RoleDecode]++
			default:
				if at.field("Role").isSet() {
					at.field("Role").problem("must be Prefill, Decode or Both, but is %q", e.Role)
				}
			}
		}
		if halves[tlwire.RolePrefill] == 0 || halves[tlwire.RoleDecode] == 0 {
			c.pools[i].field("Engines").problem("must hold at least one engine for prefill and one for decode")
		}
	}
}

func checkUse(c *checker) {
	used := map[string]bool{}
	for _, p := range c.whole.Pools {
		used[p.Service] = true
	}
	for i, s := range c.whole.Services {
		if s.Kind == tlwire.ServiceKindCompletions && !used[s.Name] {
			c.services[i].field("Name").problem("no pool serves %q", s.Name)
		}
	}
}

func checkOrganisations(c *checker) {
	for i, o := range c.whole.Organisations {
		p := c.organisations[i]
		c.name("organisation", o.Name, p.field("Name"))
		c.token(o.Token, p.field("Token"))
		within(p.field("Weight"), o.Weight, 0.001, 1000)
	}
}
