package tlmeter

import (
	"trefoillanding/core/tlquota"
	"trefoillanding/core/tlwire"
)

// self returns this process as a home. What it has granted is forgotten with it, so that
// its incarnation makes no difference.
func (m *Meter) self() tlquota.Home {
	return tlquota.Home{Name: m.o.Self}
}

func (m *Meter) noteSpent(c Charge, by tlquota.Home) {
	now := m.o.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent.Add(now, c.Organisation, by, c.Limit.Rate, c.Cost)
}

// tell returns what a home doesn't know yet of a charge's organisation, and takes it for told.
func (m *Meter) tell(c Charge, h tlquota.Home) tlquota.Told {
	now := m.o.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spent.Tell(now, c.Organisation, h, c.Limit.Rate)
}

func (m *Meter) forget(t tlquota.Told) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent.Forget(t)
}

func encodeSpent(list []tlquota.Spent) []tlwire.QuotaSpent {
	var spent []tlwire.QuotaSpent
	for _, s := range list {
		spent = append(spent, tlwire.QuotaSpent{Age: s.Age, Cost: s.Cost, IsByHome: s.IsByHome})
	}
	return spent
}

func decodeSpent(list []tlwire.QuotaSpent) []tlquota.Spent {
	var spent []tlquota.Spent
	for _, s := range list {
		spent = append(spent, tlquota.Spent{Age: max(s.Age, 0), Cost: max(s.Cost, 0), IsByHome: s.IsByHome})
	}
	return spent
}
