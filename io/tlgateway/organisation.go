package tlgateway

import (
	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlaccess"
	"trefoillanding/core/tlquota"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlmeter"
)

// ranksPerOrganisation is the number of ranks of routes within one rank of organisations;
// routes beyond share the last.
const ranksPerOrganisation = 1000

// identifyOrganisation finds the organisation of the request, and refuses one without a
// known key where a key is needed.
func (x *exchange) identifyOrganisation(t *tlroute.Table, r tlroute.Route) *tlverdict.Error {
	if f := x.forwarding; f != nil && f.Organisation != "" {
		x.organisation = t.Organisations.Named(f.Organisation)
		if x.organisation == nil {
			// The configuration of the instance that forwarded the request may be newer.
			x.organisation = &tlaccess.Organisation{Name: f.Organisation}
		}
		return nil
	}
	x.organisation = t.Organisations.Find(x.call.Key)
	if x.organisation == nil && !r.IsPublic && !t.Organisations.IsEmpty() {
		return tlverdict.New(tlverdict.UnknownKey, "no organisation has the key of the request")
	}
	return nil
}

// organisationName returns the name of the request's organisation; empty if there is none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// rank returns the request's priority: that of its organisation goes before its route's.
func (x *exchange) rank() int {
	if x.organisation == nil {
		return x.route.Rank
	}
	return max(x.organisation.Rank, 0)*ranksPerOrganisation + min(max(x.route.Rank, 0), ranksPerOrganisation-1)
}

const (
	// usedTolerance and usedSlack are the parts of what the operator tolerates that requests
	// may use: refusing them is of no use to anybody. The rest, and in any window all of the
	// tolerance, is left for what instances grant while homes are silent, new or two at once.
	usedTolerance = 0.5
	usedSlack     = 0.4
)

// quotaLimit returns the limit of the request's organisation.
func (x *exchange) quotaLimit() tlquota.Limit {
	q, d := x.organisation.Quota, x.g.deps.Quotas
	f := 1 + usedTolerance*d.Tolerance
	slack := usedSlack * d.Slack
	return tlquota.Limit{
		Rate:    f * q.Rate,
		Burst:   f * q.Burst,
		Slack:   slack,
		Most:    q.Rate*d.Window.Seconds() + q.Burst + slack,
		Version: x.table.Version,
	}
}

// chargeQuota charges the request to its organisation's quota, and refuses one over it.
// The instance that forwarded a request has charged it.
func (x *exchange) chargeQuota() *tlverdict.Error {
	if x.organisation == nil || x.organisation.Quota.Rate == 0 || x.forwarding != nil {
		return nil
	}
	c := tlmeter.Charge{
		Organisation: x.organisation.Name,
		Limit:        x.quotaLimit(),
		Cost:         x.cost(),
	}
	d := x.g.deps.Quotas.Admit(x.r.Context(), c)
	if x.isCallerGone() {
		return callerGoneError(false)
	}
	f := logrus.Fields{
		"Organisation": c.Organisation,
		"Rate":         c.Limit.Rate,
		"Burst":        c.Limit.Burst,
		"Cost":         c.Cost,
		"Home":         d.Home,
		"Level":        d.Level,
	}
	if d.IsGranted {
		x.charge = c
		x.charge.By = d.By
		x.step("within quota", f)
		return nil
	}
	x.step("over quota", f)
	e := tlverdict.New(tlverdict.QuotaSpent, "organisation %s has used up its quota of %g a second", c.Organisation, c.Limit.Rate)
	return e.WithRetryAfter(d.Wait)
}

// cost returns what the request costs its organisation.
func (x *exchange) cost() float64 {
	q := x.organisation.Quota
	switch {
	case !q.CountsTokens:
		return 1
	case !x.call.NamesTokens:
		return float64(q.DefaultTokens)
	}
	return float64(x.call.PromptTokens) + float64(x.call.MaxTokens)
}

// giveBackCharge returns the charge of a request that is refused without having run.
func (x *exchange) giveBackCharge(e *tlverdict.Error) {
	if x.charge.Cost > 0 && tlverdict.NotRun(e) {
		x.g.deps.Quotas.GiveBack(x.charge)
		x.step("quota given back", logrus.Fields{"Organisation": x.charge.Organisation, "Cost": x.charge.Cost})
		x.charge = tlmeter.Charge{}
	}
}

// weight returns what the request's organisation may have in relation to others.
func (x *exchange) weight() float64 {
	if x.organisation == nil {
		return 0
	}
	return x.organisation.Quota.Rate
}
