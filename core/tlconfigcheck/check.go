package tlconfigcheck

import (
	"fmt"
	"slices"
	"strings"

	"trefoillanding/core/tlaccess"
	"trefoillanding/core/tlroute"
)

// Options holds what a check needs to know beside the configuration.
type Options struct {
	// SavedRetries is the most retries that an instance may save up for a service.
	SavedRetries float64
}

// RejectedBy returns the finding of a configuration that can't be decoded.
func RejectedBy(err error) Finding {
	return Finding{Rejected, Configuration, "", err.Error()}
}

// Check returns what is wrong in a configuration; ignored is why parts of it are left out.
func Check(t *tlroute.Table, ignored []error, o Options) []Finding {
	var list []Finding
	for _, err := range ignored {
		list = append(list, Finding{Ignored, Configuration, "", err.Error()})
	}
	list = append(list, checkOrganisations(t.Organisations)...)
	list = append(list, checkRoutes(t, o)...)
	return append(list, checkServices(t)...)
}

func checkOrganisations(x *tlaccess.Index) []Finding {
	var list []Finding
	all, keys := x.Organisations(), x.KeyCounts()
	if len(all) == 0 && !x.IsEmpty() {
		list = append(list, Finding{NoOrganisation, Configuration, "", "no organisation can be used, so that routes which are not public refuse all requests"})
	}
	for _, p := range all {
		if keys[p.Name] == 0 {
			list = append(list, Finding{NoKeys, Organisation, p.Name, "it has no key, so that no request is one of it"})
		}
		list = append(list, checkQuota(p)...)
	}
	return list
}

// quotaChecks are the contradictions of a quota; each returns what is wrong.
var quotaChecks = []struct {
	kind  Kind
	check func(tlaccess.Quota) string
}{
	{BurstWithoutRate, func(q tlaccess.Quota) string {
		if q.Rate > 0 || q.Burst == 0 {
			return ""
		}
		return fmt.Sprintf("the burst of %g has no effect, since there is no rate", q.Burst)
	}},
	{SmallBurst, func(q tlaccess.Quota) string {
		if q.Rate == 0 || q.Burst >= usualCost(q) {
			return ""
		}
		return fmt.Sprintf("the burst of %g is below the cost of one request, %g", q.Burst, usualCost(q))
	}},
	{FreeRequests, func(q tlaccess.Quota) string {
		if q.Rate == 0 || !q.CountsTokens || q.DefaultTokens > 0 {
			return ""
		}
		return "requests that name no tokens cost nothing of the quota"
	}},
}

// usualCost returns the cost of a request that names no tokens, which is at least 1.
func usualCost(q tlaccess.Quota) float64 {
	if !q.CountsTokens {
		return 1
	}
	return float64(max(q.DefaultTokens, 1))
}

func checkQuota(p *tlaccess.Organisation) []Finding {
	var list []Finding
	for _, c := range quotaChecks {
		if text := c.check(p.Quota); text != "" {
			list = append(list, Finding{c.kind, Organisation, p.Name, text})
		}
	}
	return list
}

func checkRoutes(t *tlroute.Table, o Options) []Finding {
	var list []Finding
	names, taken := map[string]bool{}, map[[2]string]string{}
	for _, r := range t.Routes() {
		add := func(k Kind, format string, values ...any) {
			list = append(list, Finding{k, Route, r.Name, fmt.Sprintf(format, values...)})
		}
		if names[r.Name] {
			add(RepeatedName, "another route has its name")
		}
		names[r.Name] = true
		place := [2]string{r.Host, r.Prefix}
		if by, ok := taken[place]; ok {
			add(HiddenRoute, "route %s takes all requests of its host and prefix", printable(by))
		} else {
			taken[place] = r.Name
		}
		if !isHost(r.Host) {
			add(ImpossibleHost, "no request can have the host %q", r.Host)
		}
		checkTimes(r, add)
		checkTargets(t, r, add)
		if retries := float64(r.Attempts - 1); retries > o.SavedRetries {
			add(UnpaidAttempts, "its %d attempts need a retry budget of %g, and an instance may save up %.3g", r.Attempts, retries, o.SavedRetries)
		}
	}
	return list
}

// isHost reports whether the host of a request can be a text: servers refuse others.
func isHost(s string) bool {
	const other = "!$%&'()*+,-.:;=[]_~"
	return !strings.ContainsFunc(s, func(c rune) bool {
		isAlphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z'
		return !isAlphanumeric && !strings.ContainsRune(other, c)
	})
}

type addFunc func(k Kind, format string, values ...any)

func checkTimes(r tlroute.Route, add addFunc) {
	if r.Timeout <= 0 {
		return
	}
	if r.Objective > r.Timeout {
		add(ShortTimeout, "the timeout of %v is below the objective of %v", r.Timeout, r.Objective)
	}
	if r.GapObjective > r.Timeout {
		add(ShortTimeout, "the timeout of %v is below the objective for the time between events, %v", r.Timeout, r.GapObjective)
	}
}

func checkTargets(t *tlroute.Table, r tlroute.Route, add addFunc) {
	declared := t.Services()
	for _, g := range r.Targets {
		if !slices.Contains(declared, g.Service) {
			add(UndeclaredService, "service %s is not declared", printable(g.Service))
		}
		if g.Weight <= 0 {
			add(NoWeight, "service %s has the weight %g", printable(g.Service), g.Weight)
		}
	}
}

func checkServices(t *tlroute.Table) []Finding {
	var list []Finding
	for _, name := range t.RepeatedServices() {
		list = append(list, Finding{RepeatedName, Service, name, "it is declared again; the last declaration counts"})
	}
	used := map[string]bool{}
	for _, r := range t.Routes() {
		for _, g := range r.Targets {
			used[g.Service] = true
		}
	}
	for _, name := range slices.Sorted(slices.Values(t.Services())) {
		if !used[name] {
			list = append(list, Finding{UnusedService, Service, name, "no route names it"})
		}
	}
	return list
}
