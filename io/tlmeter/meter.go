package tlmeter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlquota"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between an instance and the home of an organisation.
const (
	// kindQuota asks the home, kindQuotaReturn gives back what a request was charged.
	kindQuota       = "Quota"
	kindQuotaReturn = "QuotaReturn"
)

const (
	// homeTimeout bounds a question to the home: the request waits for it.
	homeTimeout = 150 * time.Millisecond
	// fleetCheckInterval is the time between looks at how many instances there are.
	fleetCheckInterval = 100 * time.Millisecond
)

// The counters of a Meter.
const (
	// Granted and Refused count this instance's requests within and over their quotas,
	// Returned those that ended without having run.
	Granted  = "Granted"
	Refused  = "Refused"
	Returned = "Returned"
	// HomeSilent counts the requests whose home gave no answer, and GivenOut the requests
	// that this instance granted as a home.
	HomeSilent = "HomeSilent"
	GivenOut   = "GivenOut"
	// OwnPart counts the requests that this instance granted by its own part of a quota.
	OwnPart = "OwnPart"
	// GivenOutCost, OwnPartCost and ReturnedCost sum up what the requests of GivenOut, OwnPart
	// and Returned cost, in tokens and requests.
	GivenOutCost = "GivenOutCost"
	OwnPartCost  = "OwnPartCost"
	ReturnedCost = "ReturnedCost"
	// ReturnUnknown counts what came back to this instance as a home that has no bucket of
	// the organisation.
	ReturnUnknown = "ReturnUnknown"
)

// CounterNames lists the counters of a Meter.
var CounterNames = []string{
	Granted, Refused, Returned, HomeSilent, GivenOut, OwnPart, GivenOutCost, OwnPartCost, ReturnedCost, ReturnUnknown,
}

var errNotHome = errors.New("this instance is not the home of the organisation")

// Options holds what a Meter depends on.
type Options struct {
	// Self is the name of this instance, and Incarnation which of its processes this is.
	Self        string
	Incarnation uint64
	// Mesh reaches the other instances; New registers handlers with it.
	Mesh *tlpeer.Mesh
	// Home returns the home of an organisation.
	Home func(organisation string) tlquota.Home
	// Fleet returns what this instance knows of the number of instances.
	Fleet func() Fleet
	// Window is the time over which what homes grant one after the other is counted.
	Window time.Duration
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// Now returns the current time.
	Now func() time.Time
	// Log receives homes that fall silent, and organisations that are counted from now on.
	Log *logrus.Entry
	// Add adds to a counter of CounterNames.
	Add func(reason string, n int64)
}

// Fleet is what an instance knows of the number of instances.
type Fleet struct {
	// InTouch is how many are in touch with this one, itself included, and Listed how many there are.
	InTouch, Listed int
	// Restarts is when those in touch have started again, as far as this one knows.
	Restarts []time.Time
	// Rank is this instance's place among those listed, in the order of their names, from 0.
	Rank int
}

// Charge is what a request costs its organisation.
type Charge struct {
	// Organisation is the name of the organisation.
	Organisation string
	// Limit is its quota.
	Limit tlquota.Limit
	// Cost is what the request costs.
	Cost float64
	// By is who granted the request, as its Decision says.
	By tlquota.Home
}

// Decision is the answer to a Charge.
type Decision struct {
	tlquota.Grant
	// Home is the instance that decided.
	Home string
	// By is the home that granted the request; the zero Home is this instance's own part.
	By tlquota.Home
}

// Meter charges requests to the quotas of their organisations.
type Meter struct {
	o Options

	mu           sync.Mutex
	ledger       *tlquota.Ledger
	reserve      *tlquota.Reserve
	spent        *tlquota.Spending
	fleetChecked time.Time
	// silent has the homes that gave no answer when they were last asked.
	silent map[string]silence
}

// New returns a Meter and registers its handlers with the mesh, which must not have been started.
func New(o Options) *Meter {
	m := &Meter{
		o:       o,
		ledger:  tlquota.NewLedger(o.Window),
		reserve: tlquota.NewReserve(o.Window),
		spent:   tlquota.NewSpending(o.Window),
		silent:  map[string]silence{},
	}
	tlpeer.Handle(o.Mesh, kindQuota, m.handleQuota)
	tlpeer.Handle(o.Mesh, kindQuotaReturn, m.handleReturn)
	return m
}

// Admit charges a request, and says whether it is within the quota. Nothing is charged if
// ctx ends meanwhile; the decision then doesn't grant it.
func (m *Meter) Admit(ctx context.Context, c Charge) Decision {
	home := m.o.Home(c.Organisation)
	if home.Name == m.o.Self {
		home = m.self()
	}
	d := m.ask(ctx, home, c)
	switch {
	case !d.IsGranted:
		m.o.Add(Refused, 1)
	case ctx.Err() != nil:
		c.By = d.By
		m.giveBack(c)
		d.IsGranted = false
	default:
		m.o.Add(Granted, 1)
		m.noteSpent(c, d.By)
	}
	return d
}

func (m *Meter) ask(ctx context.Context, home tlquota.Home, c Charge) Decision {
	if since, ok := m.isSilent(home.Name); ok {
		return Decision{Grant: m.takeReserve(c, since), Home: m.o.Self}
	}
	told := m.tell(c, home)
	if home.Name == m.o.Self {
		return Decision{m.take(c, told.Spent), home.Name, home}
	}
	// The answer of the home counts also if the caller leaves: what it charged is given back.
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), homeTimeout)
	defer stop()
	a, err := tlpeer.Call[tlwire.QuotaCall, tlwire.QuotaAnswer](ctx, m.o.Mesh, home.Name, kindQuota, tlwire.QuotaCall{
		Organisation: c.Organisation,
		Rate:         c.Limit.Rate,
		Burst:        c.Limit.Burst,
		Slack:        c.Limit.Slack,
		Most:         c.Limit.Most,
		Version:      c.Limit.Version,
		Cost:         c.Cost,
		Spent:        encodeSpent(told.Spent),
	})
	if err != nil {
		m.forget(told)
		return Decision{Grant: m.takeReserve(c, m.markSilent(home.Name, err)), Home: m.o.Self}
	}
	m.markAnswering(home.Name)
	return Decision{tlquota.Grant{IsGranted: a.IsGranted, Wait: a.Wait, Level: a.Level}, home.Name, home}
}

// GiveBack returns what a request was charged that has not run and never will, to whoever
// charged it.
func (m *Meter) GiveBack(c Charge) {
	m.o.Add(Returned, 1)
	m.o.Add(ReturnedCost, int64(c.Cost))
	m.mu.Lock()
	m.spent.Remove(c.Organisation, c.By, c.Cost)
	m.mu.Unlock()
	m.giveBack(c)
}

func (m *Meter) giveBack(c Charge) {
	r := tlwire.QuotaReturn{Organisation: c.Organisation, Cost: c.Cost, Incarnation: c.By.Incarnation}
	switch c.By {
	case tlquota.Home{}:
		m.mu.Lock()
		m.reserve.GiveBack(c.Organisation, c.Cost)
		m.mu.Unlock()
	case m.self():
		m.takeBack(r)
	default:
		m.o.Post(c.By.Name, kindQuotaReturn, func(ctx context.Context) error {
			return tlpeer.Send(ctx, m.o.Mesh, c.By.Name, kindQuotaReturn, r)
		})
	}
}

// Levels returns what each organisation that this instance has answered for may send at once.
func (m *Meter) Levels() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Levels()
}

// Grants is what an instance has granted to an organisation since its start.
type Grants struct {
	// AsHome is what it granted as the home, and OwnPart what it granted by its own part.
	AsHome, OwnPart float64
}

// Grants returns what this instance has granted to each organisation.
func (m *Meter) Grants() map[string]Grants {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]Grants{}
	for name, sum := range m.ledger.Granted() {
		all[name] = Grants{AsHome: sum}
	}
	for name, sum := range m.reserve.Granted() {
		g := all[name]
		g.OwnPart = sum
		all[name] = g
	}
	return all
}

func (m *Meter) handleQuota(_ context.Context, _ tlpeer.Peer, c tlwire.QuotaCall) (tlwire.QuotaAnswer, error) {
	if m.o.Home(c.Organisation).Name != m.o.Self {
		return tlwire.QuotaAnswer{}, errNotHome
	}
	g := m.take(Charge{
		Organisation: c.Organisation,
		Limit:        tlquota.Limit{Rate: c.Rate, Burst: c.Burst, Slack: c.Slack, Most: max(c.Most, 0), Version: c.Version},
		Cost:         c.Cost,
	}, decodeSpent(c.Spent))
	return tlwire.QuotaAnswer{IsGranted: g.IsGranted, Wait: g.Wait, Level: g.Level}, nil
}

func (m *Meter) handleReturn(_ context.Context, _ tlpeer.Peer, r tlwire.QuotaReturn) (tlpeer.Empty, error) {
	if r.Incarnation != 0 && r.Incarnation != m.o.Incarnation {
		m.o.Add(ReturnUnknown, 1)
		return tlpeer.Empty{}, nil
	}
	m.takeBack(r)
	return tlpeer.Empty{}, nil
}

func (m *Meter) takeBack(r tlwire.QuotaReturn) {
	m.mu.Lock()
	isKnown := m.ledger.GiveBack(r.Organisation, max(r.Cost, 0))
	m.mu.Unlock()
	if !isKnown {
		m.o.Add(ReturnUnknown, 1)
	}
}

// take charges a request as the home, which is told what others have granted.
func (m *Meter) take(c Charge, told []tlquota.Spent) tlquota.Grant {
	now := m.o.Now()
	m.mu.Lock()
	m.checkFleet(now)
	g := m.ledger.Take(now, c.Organisation, c.Limit, max(c.Cost, 0), told...)
	m.mu.Unlock()
	m.noteGrant(c, g, GivenOut, GivenOutCost)
	return g
}

// takeReserve charges a request to this instance's own part, since its home has been silent
// from a time on.
func (m *Meter) takeReserve(c Charge, since time.Time) tlquota.Grant {
	m.o.Add(HomeSilent, 1)
	now := m.o.Now()
	m.mu.Lock()
	m.checkFleet(now)
	spent := m.spent.Sum(now, c.Organisation, c.Limit.Rate)
	g := m.reserve.Take(now, since, c.Organisation, c.Limit, max(c.Cost, 0), spent)
	m.mu.Unlock()
	m.noteGrant(c, g, OwnPart, OwnPartCost)
	return g
}

// noteGrant counts a request that this instance has decided, and logs the first of an organisation.
func (m *Meter) noteGrant(c Charge, g tlquota.Grant, requests, cost string) {
	if g.IsNew {
		m.o.Log.WithFields(logrus.Fields{
			"Organisation": c.Organisation, "By": requests, "Cost": c.Cost, "Level": g.Level, "IsGranted": g.IsGranted,
		}).Info("quota counted here")
	}
	if g.IsGranted {
		m.o.Add(requests, 1)
		m.o.Add(cost, int64(c.Cost))
	}
}

// checkFleet passes on how many instances there are; m.mu must be held.
func (m *Meter) checkFleet(now time.Time) {
	if now.Sub(m.fleetChecked) < fleetCheckInterval {
		return
	}
	m.fleetChecked = now
	f := m.o.Fleet()
	restarts := slices.DeleteFunc(f.Restarts, func(at time.Time) bool { return now.Sub(at) > m.o.Window })
	m.ledger.SetFleet(now, f.InTouch, f.Listed, restarts...)
	m.reserve.SetFleet(now, f.Listed, f.Rank)
}
