package tlbooking

import (
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlquarantine"
)

// noteQuarantine takes in what an event of a request tells of the parts of its prompt,
// before the event is applied. Only an instance that decides for all puts a part in
// quarantine: the others have seen their own requests alone.
func (d *Coordinator) noteQuarantine(service string, k *reservations, request string, e Event, engine string, decides bool) {
	now := d.o.Now()
	switch e {
	case BrokeUnbegun:
		until := now.Add(tlquarantine.HoldTime)
		part, engines, ok := k.crashed(now, until, request, engine, decides)
		if !ok {
			return
		}
		d.o.Count(Quarantined)
		d.logQuarantine(service, part).WithFields(logrus.Fields{"Engines": engines, "Until": until, "Request": request}).
			Warn("part of prompts quarantined")
		d.o.OnQuarantine(service, part, until)
	case Completed:
		for _, part := range k.completed(now, request) {
			if !decides {
				continue
			}
			d.forgetQuarantine(service, part)
			d.o.Count(QuarantineLifted)
			d.logQuarantine(service, part).WithField("Request", request).Warn("quarantine lifted, since an engine has written an answer")
			d.o.OnLifted(service, part)
		}
	}
}

// SetQuarantine puts a part in quarantine that another instance, or a former
// incarnation of this one, has put there.
func (d *Coordinator) SetQuarantine(service, part string, until time.Time) {
	d.mu.Lock()
	if d.quarantined[service] == nil {
		d.quarantined[service] = map[string]time.Time{}
	}
	d.quarantined[service][part] = until
	k := d.byService[service]
	d.mu.Unlock()
	if k != nil && k.quarantine(d.o.Now(), until, part) {
		d.logQuarantine(service, part).WithField("Until", until).Info("part of prompts quarantined, by the store's record")
	}
}

// LiftQuarantine ends the quarantine of a part that another instance has ended.
func (d *Coordinator) LiftQuarantine(service, part string) {
	d.forgetQuarantine(service, part)
	if k := d.reservationsOf(service, nil); k != nil && k.liftQuarantine(d.o.Now(), part) {
		d.logQuarantine(service, part).Info("quarantine lifted, by the store's record")
	}
}

func (d *Coordinator) noteExpired(now time.Time, service string, k *reservations) {
	for _, part := range k.expiredQuarantines(now) {
		d.forgetQuarantine(service, part)
		d.logQuarantine(service, part).Info("quarantine expired")
	}
}

func (d *Coordinator) forgetQuarantine(service, part string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.quarantined[service], part)
}

func (d *Coordinator) logQuarantine(service, part string) *logrus.Entry {
	return d.o.Log.WithFields(logrus.Fields{"Service": service, "Part": part})
}

// crashed records a crash under a request; where this instance decides, it puts the
// part to blame in quarantine and refuses the requests that wait with it.
func (k *reservations) crashed(now, until time.Time, request, engine string, decides bool) (part string, engines []string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	part, engines, ok = k.b.Crashed(now, request, engine)
	if !ok || !decides {
		return "", nil, false
	}
	k.b.Quarantine(now, until, part)
	k.decide(now)
	return part, engines, true
}

func (k *reservations) completed(now time.Time, request string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Completed(now, request)
}

func (k *reservations) quarantine(now, until time.Time, part string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	isNews := k.b.Quarantine(now, until, part)
	k.decide(now)
	return isNews
}

func (k *reservations) liftQuarantine(now time.Time, part string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.LiftQuarantine(now, part)
}

func (k *reservations) expiredQuarantines(now time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.ExpiredQuarantines(now)
}
