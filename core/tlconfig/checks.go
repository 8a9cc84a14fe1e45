package tlconfig

import (
	"cmp"
	"strings"
	"time"

	"trefoillanding/core/tlwire"
)

// checks run in this order on the merged content of all files.
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
	checkServicesHavePools,
	checkOrganisations,
}

func checkNotEmpty(c *checker) {
	if len(c.documents) > 0 && len(c.merged.Services) == 0 {
		c.documents[0].Add("Services", "must declare at least one service in some file")
	}
}

func checkDataCentres(c *checker) {
	for i, d := range c.merged.DataCentres {
		p := c.dataCentres[i]
		c.name("data centre", d.Name, p.field("Name"))
		checkRange(p.field("Delay"), d.Delay, 0, time.Second)
		checkRange(p.field("CallerDelay"), d.CallerDelay, 0, time.Second)
	}
}

// kindServiceOrModel is the kind of all names that a completion may request.
const kindServiceOrModel = "service or model"

func checkServices(c *checker) {
	for i, s := range c.merged.Services {
		p := c.services[i]
		c.name(kindServiceOrModel, s.Name, p.field("Name"))
		switch s.Kind {
		case tlwire.ServiceKindCompletions:
			forbidFields(p, "Calls", "Endpoints")
			requireElements(p, "Models", len(s.Models))
		case tlwire.ServiceKindPlain:
			forbidFields(p, "Models", "Targets", "Weights")
			requireElements(p, "Endpoints", len(s.Endpoints))
		default:
			if p.field("Kind").isSet() {
				p.field("Kind").problem("must be Completions or Plain, but is %q", s.Kind)
			}
		}
	}
}

func forbidFields(p location, fields ...string) {
	for _, f := range fields {
		if p.field(f).isSet() {
			p.field(f).problem("does not apply to this kind of service")
		}
	}
}

func requireElements(p location, field string, n int) {
	if n == 0 {
		p.field(field).problem("must not be empty for this kind of service")
	}
}

func checkModels(c *checker) {
	for i, s := range c.merged.Services {
		for j, m := range s.Models {
			p := c.services[i].element("Models", j)
			if m.Name != s.Name {
				c.name(kindServiceOrModel, m.Name, p.field("Name"))
			}
			if p.field("Version").isSet() && !namePattern.MatchString(m.Version) {
				p.field("Version").problem("must be letters, digits, dots, dashes and underscores, but is %q", m.Version)
			}
			for k, a := range m.Adapters {
				c.name(kindServiceOrModel, a, p.element("Adapters", k))
			}
		}
	}
}

func checkBounds(c *checker) {
	for i, s := range c.merged.Services {
		p := c.services[i]
		t, w, b := valueOf(s.Targets), valueOf(s.Weights), valueOf(s.Bounds)
		checkRange(p.field("Targets.FirstToken"), t.FirstToken, time.Millisecond, time.Hour)
		checkRange(p.field("Targets.BetweenTokens"), t.BetweenTokens, time.Millisecond, time.Hour)
		checkRange(p.field("Weights.Goodput"), w.Goodput, 0, 1000)
		checkRange(p.field("Weights.WastedPrefill"), w.WastedPrefill, 0, 1000)
		checkRange(p.field("Bounds.QueueWait"), b.QueueWait, time.Millisecond, time.Hour)
		checkRange(p.field("Bounds.QueueLength"), b.QueueLength, 1, 1_000_000)
		checkRange(p.field("Bounds.MaxTokens"), b.MaxTokens, 1, 10_000_000)
		checkRange(p.field("Bounds.PromptTokens"), b.PromptTokens, 1, 10_000_000)
		checkRange(p.field("Bounds.RetryShare"), b.RetryShare, 0.001, 1)
		checkRange(p.field("Bounds.CallTimeout"), b.CallTimeout, time.Millisecond, time.Hour)
		checkRange(p.field("Bounds.AnswerBytes"), b.AnswerBytes, 1, 1<<20)
	}
}

func checkRange[T cmp.Ordered](p location, v, low, high T) {
	if p.isSet() && (v < low || v > high) {
		p.problem("must be from %v to %v, but is %v", low, high, v)
	}
}

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func checkCalls(c *checker) {
	for i, s := range c.merged.Services {
		for j, l := range s.Calls {
			p := c.services[i].element("Calls", j)
			if p.field("Method").isSet() && !methods[l.Method] {
				p.field("Method").problem("must be an HTTP method in capitals, but is %q", l.Method)
			}
			if p.field("Path").isSet() && !isPattern(l.Path) {
				p.field("Path").problem("must be a path such as /stock/{item}, but is %q", l.Path)
				continue
			}
			c.unique("call", s.Name+" "+l.Method+" "+withoutVariableNames(l.Path), p.field("Path"))
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

// withoutVariableNames removes the names of variables, which do not affect matching.
func withoutVariableNames(path string) string {
	parts := strings.Split(path, "/")
	for i, p := range parts {
		if isVariable(p) {
			parts[i] = "{}"
		}
	}
	return strings.Join(parts, "/")
}

func checkEndpoints(c *checker) {
	for i, s := range c.merged.Services {
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
	for _, s := range c.merged.Services {
		kinds[s.Name] = s.Kind
	}
	for i, p := range c.merged.Pools {
		at := c.pools[i]
		c.name("pool", p.Name, at.field("Name"))
		c.dataCentre(p.DataCentre, at.field("DataCentre"))
		checkRange(at.field("PieceTokens"), p.PieceTokens, 1, 1_000_000)
		checkRange(at.field("LinkBytesPerSecond"), p.LinkBytesPerSecond, 1, 1<<50)
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
	for i, p := range c.merged.Pools {
		enginesPerRole := map[tlwire.Role]int{}
		for j, e := range p.Engines {
			at := c.pools[i].element("Engines", j)
			c.name("endpoint", e.Name, at.field("Name"))
			c.address(e.Address, at.field("Address"))
			switch e.Role {
			case tlwire.RolePrefill, tlwire.RoleDecode:
				enginesPerRole[e.Role]++
			case tlwire.RoleBoth:
				enginesPerRole[tlwire.RolePrefill]++
				enginesPerRole[tlwire.RoleDecode]++
			default:
				if at.field("Role").isSet() {
					at.field("Role").problem("must be Prefill, Decode or Both, but is %q", e.Role)
				}
			}
		}
		if enginesPerRole[tlwire.RolePrefill] == 0 || enginesPerRole[tlwire.RoleDecode] == 0 {
			c.pools[i].field("Engines").problem("must hold at least one engine for prefill and one for decode")
		}
	}
}

func checkServicesHavePools(c *checker) {
	used := map[string]bool{}
	for _, p := range c.merged.Pools {
		used[p.Service] = true
	}
	for i, s := range c.merged.Services {
		if s.Kind == tlwire.ServiceKindCompletions && !used[s.Name] {
			c.services[i].field("Name").problem("no pool serves %q", s.Name)
		}
	}
}

func checkOrganisations(c *checker) {
	for i, o := range c.merged.Organisations {
		p := c.organisations[i]
		c.name("organisation", o.Name, p.field("Name"))
		c.token(o.Token, p.field("Token"))
		checkRange(p.field("Weight"), o.Weight, 0.001, 1000)
	}
}
