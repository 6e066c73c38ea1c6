package member

import (
	"context"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// source says from whom a statement came.
type source struct {
	dataCentre string
	// direct is true for the statement of a host about itself.
	direct bool
	// failed is true if this host holds the sender for failed.
	failed bool
	// replace is true while this host takes over another host's table: of two
	// statements on one incarnation the other host's is kept.
	replace bool
}

// merge takes in a statement about a host. The lock is held.
func (a *Agent) merge(ev *peerpb.MemberEvent, from source) {
	if ev == nil || ev.Name == "" {
		return
	}
	host := hostOf(ev)
	if host.Name == a.self.Name {
		a.mergeSelf(host, from)
		return
	}
	now := time.Now()
	e, known := a.table[host.Name]
	if !known {
		e = &entry{}
		a.table[host.Name] = e
		a.store(e, host, now)
		return
	}
	wins := order(host, e.host) > 0
	if from.replace && host.Incarnation == e.host.Incarnation {
		wins = order(host, e.host) != 0
	}
	if !wins {
		if !from.direct {
			a.queue.received(ev)
		}
		if host.Incarnation == e.host.Incarnation && host.ConfigVersion > e.host.ConfigVersion {
			e.host.ConfigVersion = host.ConfigVersion
			a.dirty = true
		}
		return
	}
	if a.foreign(host, e.host, from) {
		a.notify(e.host, host)
		return
	}
	if host.Incarnation == e.host.Incarnation {
		host.ConfigVersion = max(host.ConfigVersion, e.host.ConfigVersion)
	}
	a.store(e, host, now)
}

// foreign reports a claim from another data centre that a host of the own one
// has failed. After a partition each side holds the other one for dead; taking
// over that claim would move the ownership of every replica here.
func (a *Agent) foreign(claim, known Host, from source) bool {
	return (claim.State == Suspect || claim.State == Dead) && claim.Incarnation == known.Incarnation &&
		known.DataCentre == a.self.DataCentre && from.dataCentre != a.self.DataCentre &&
		(known.State == Live || known.State == Leaving)
}

// notify tells a host what is claimed about it, so that it can refute.
func (a *Agent) notify(host, claim Host) {
	if a.notices[host.Name] {
		return
	}
	a.notices[host.Name] = true
	go a.spawn(func(ctx context.Context) {
		a.ping(ctx, host, a.opts.PingTimeout, eventOf(claim))
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.notices, host.Name)
	})
}

// mergeSelf refutes what others say about this host.
func (a *Agent) mergeSelf(claim Host, from source) {
	if claim.Incarnation < a.self.Incarnation {
		return
	}
	if claim.Incarnation > a.self.Incarnation {
		// An earlier process at this address can have the higher incarnation
		// only if the wall clock was set back; a process at another address
		// that is seen after joining has taken over the name.
		if a.joined && claim.Addr != a.self.Addr {
			if a.replaced == nil && claim.State != Dead {
				a.replaced = &ReplacedError{Name: claim.Name, Addr: claim.Addr, Incarnation: claim.Incarnation}
				a.log.WithError(a.replaced).Error("host was replaced")
			}
			return
		}
		a.self.Incarnation = claim.Incarnation + 1
		a.self.Counter = 0
	} else {
		if order(claim, a.self) <= 0 {
			return
		}
		if a.joined && from.dataCentre == a.self.DataCentre && a.wasCutOff(claim, from) {
			// The others have gone on without this host, so their table is
			// better than its own.
			a.setStale(time.Now())
		}
		a.self.Counter = claim.Counter + 1
	}
	a.dirty = true
	a.opts.Scope.Counter("refuted").Inc(1)
	a.log.WithField("claim", claim.State.String()).WithField("counter", a.self.Counter).Info("refuted a claim about this host")
	a.queue.addMember(eventOf(a.self))
}

// wasCutOff reports whether a claim that this host failed shows that it, and
// not the sender, was cut off. A host that holds most of its data centre for
// failed was cut off itself, even if the others only suspect it so far;
// otherwise a sender held for failed is the one that was.
func (a *Agent) wasCutOff(claim Host, from source) bool {
	if claim.State != Suspect && claim.State != Dead {
		return false
	}
	failed, alive := 0, 0
	for _, e := range a.table {
		switch {
		case e.host.DataCentre != a.self.DataCentre:
		case e.host.State == Suspect || e.host.State == Dead:
			failed++
		default:
			alive++
		}
	}
	return failed > alive || claim.State == Dead && !from.failed
}

// store replaces what is known of a host and spreads it.
func (a *Agent) store(e *entry, host Host, now time.Time) {
	e.host = host
	e.until = time.Time{}
	e.died = time.Time{}
	switch host.State {
	case Suspect:
		// The host that saw the failure decides after the suspicion time; the
		// others wait longer, until its decision can have reached them.
		e.until = now.Add(heardFactor * a.opts.Suspicion)
	case Dead:
		e.died = now
	default:
	}
	a.dirty = true
	if !a.quiet {
		a.queue.addMember(e.event())
	}
}

// heardFactor times the suspicion time is the wait of a host that only heard
// of a suspicion.
const heardFactor = 4

// suspect marks a host that this process saw fail. The lock is held.
func (a *Agent) suspect(e *entry) {
	until := time.Now().Add(a.opts.Suspicion)
	switch e.host.State {
	case Live:
		host := e.host
		host.State = Suspect
		a.store(e, host, time.Now())
		a.opts.Scope.Counter("suspected").Inc(1)
		a.log.WithField("member", host.Name).Info("host suspected")
	case Dead:
		return
	default:
	}
	if e.until.IsZero() || until.Before(e.until) {
		e.until = until
	}
	if e.host.State == Suspect && !e.host.SuspectedHere {
		e.host.SuspectedHere = true
		a.dirty = true
	}
}

// heard takes in what the sender of a message says about itself, and reports
// whether this host held the sender for failed.
func (a *Agent) heard(m *peerpb.GossipMessage) (failed bool) {
	from := m.GetFrom()
	if from.GetName() == "" || from.Name == a.self.Name {
		a.merge(from, source{dataCentre: from.GetDataCentre(), direct: true})
		return from.GetName() != ""
	}
	from.ConfigVersion = max(from.ConfigVersion, m.ConfigVersion)
	if e, ok := a.table[from.Name]; ok && e.host.Incarnation == from.Incarnation {
		// A message that refutes its sender's failure still carries what the
		// sender held true while it was cut off.
		failed = e.host.State == Suspect || e.host.State == Dead
	}
	a.merge(from, source{dataCentre: from.DataCentre, direct: true})
	e := a.table[from.Name]
	if e.host.Incarnation == from.Incarnation && e.host.State == Leaving && !e.until.IsZero() {
		e.until = time.Time{}
	}
	return failed || order(e.host, hostOf(from)) > 0 && e.host.State != Leaving
}
