package member

import (
	"context"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// claimSource describes where a claim about a host came from.
type claimSource struct {
	dataCentre string // data centre of the sender
	// aboutSelf is true for a host's claim about itself.
	aboutSelf bool
	// senderFailed is true if this host has the sender recorded as failed.
	senderFailed bool
	// takeOver is true while this host takes over another host's table. The
	// other host's claim about an incarnation then replaces the known one even
	// if it is older.
	takeOver bool
}

// mergeMember applies a claim about a host to the table. The caller holds mu.
func (a *Agent) mergeMember(ev *peerpb.MemberEvent, src claimSource) {
	if ev == nil || ev.Name == "" {
		return
	}
	host := hostFromEvent(ev)
	if host.Name == a.self.Name {
		a.mergeSelf(host, src)
		return
	}
	now := time.Now()
	e, known := a.table[host.Name]
	if !known {
		e = &tableEntry{}
		a.table[host.Name] = e
		a.setHost(e, host, now)
		return
	}
	supersedes := compareClaims(host, e.host) > 0
	if src.takeOver && host.Incarnation == e.host.Incarnation {
		supersedes = compareClaims(host, e.host) != 0
	}
	if !supersedes {
		if !src.aboutSelf {
			a.events.countReceived(ev)
		}
		if host.Incarnation == e.host.Incarnation && host.ConfigVersion > e.host.ConfigVersion {
			e.host.ConfigVersion = host.ConfigVersion
			a.viewOutdated = true
		}
		return
	}
	if a.isRemoteFailureClaim(host, e.host, src) {
		a.notifyOfClaim(e.host, host)
		return
	}
	if host.Incarnation == e.host.Incarnation {
		host.ConfigVersion = max(host.ConfigVersion, e.host.ConfigVersion)
	}
	a.setHost(e, host, now)
}

// isRemoteFailureClaim reports whether a sender in another data centre claims
// that a host of the own data centre has failed, while it is known as working
// here. After a partition each side has the other recorded as dead; accepting
// such claims would move the ownership of every replica in this data centre.
func (a *Agent) isRemoteFailureClaim(claim, known Host, src claimSource) bool {
	return (claim.State == Suspect || claim.State == Dead) && claim.Incarnation == known.Incarnation &&
		known.DataCentre == a.self.DataCentre && src.dataCentre != a.self.DataCentre &&
		(known.State == Live || known.State == Leaving)
}

// notifyOfClaim sends a claim to the host that it is about, so that the host can
// refute it.
func (a *Agent) notifyOfClaim(host, claim Host) {
	if a.pendingNotices[host.Name] {
		return
	}
	a.pendingNotices[host.Name] = true
	go a.spawn(func(ctx context.Context) {
		a.ping(ctx, host, a.opts.PingTimeout, memberEvent(claim))
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.pendingNotices, host.Name)
	})
}

// mergeSelf handles a claim about this host's name: it refutes it with a higher
// counter or incarnation, or records that another process has the name.
func (a *Agent) mergeSelf(claim Host, src claimSource) {
	if claim.Incarnation < a.self.Incarnation {
		return
	}
	if claim.Incarnation > a.self.Incarnation {
		// A process at another address that is seen after joining has taken
		// over the name. An earlier process at this address has a higher
		// incarnation only if the wall clock was set back.
		if a.joined && claim.Addr != a.self.Addr {
			if a.replacedErr == nil && claim.State != Dead {
				a.replacedErr = &ReplacedError{Name: claim.Name, Addr: claim.Addr, Incarnation: claim.Incarnation}
				a.log.WithError(a.replacedErr).Error("host was replaced")
			}
			return
		}
		a.self.Incarnation = claim.Incarnation + 1
		a.self.Counter = 0
	} else {
		if compareClaims(claim, a.self) <= 0 {
			return
		}
		if a.joined && src.dataCentre == a.self.DataCentre && a.wasCutOff(claim, src) {
			// The other hosts kept in contact with each other, so their table
			// is more accurate than this one's.
			a.markStale(time.Now())
		}
		a.self.Counter = claim.Counter + 1
	}
	a.viewOutdated = true
	a.opts.Scope.Counter("refuted").Inc(1)
	a.log.WithField("claim", claim.State.String()).WithField("counter", a.self.Counter).Info("refuted a claim about this host")
	a.events.addMember(memberEvent(a.self))
}

// wasCutOff reports whether a claim that this host failed shows that this host,
// rather than the sender, was cut off from the network. A host that has most of
// its data centre recorded as failed was cut off itself, even if the others only
// suspect it so far. Otherwise a sender that this host has recorded as failed is
// the one that was cut off.
func (a *Agent) wasCutOff(claim Host, src claimSource) bool {
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
	return failed > alive || claim.State == Dead && !src.senderFailed
}

// setHost replaces what is known of a host and queues it for other hosts.
func (a *Agent) setHost(e *tableEntry, host Host, now time.Time) {
	e.host = host
	e.declareDeadAt = time.Time{}
	e.diedAt = time.Time{}
	switch host.State {
	case Suspect:
		// The host that saw the failure decides after the suspicion time. The
		// others wait longer, so that its decision can reach them first.
		e.declareDeadAt = now.Add(heardSuspicionFactor * a.opts.SuspicionTimeout)
	case Dead:
		e.diedAt = now
	default:
	}
	a.viewOutdated = true
	if !a.spreadSuppressed {
		a.events.addMember(e.toEvent())
	}
}

// heardSuspicionFactor times Options.SuspicionTimeout is the time after which a
// host that only received a suspicion declares the suspected host dead.
const heardSuspicionFactor = 4

// markSuspected marks a host as suspected because this process saw a probe of it
// or a connection to it fail. The caller holds mu.
func (a *Agent) markSuspected(e *tableEntry) {
	until := time.Now().Add(a.opts.SuspicionTimeout)
	switch e.host.State {
	case Live:
		host := e.host
		host.State = Suspect
		a.setHost(e, host, time.Now())
		a.opts.Scope.Counter("suspected").Inc(1)
		a.log.WithField("member", host.Name).Info("host suspected")
	case Dead:
		return
	default:
	}
	if e.declareDeadAt.IsZero() || until.Before(e.declareDeadAt) {
		e.declareDeadAt = until
	}
	if e.host.State == Suspect && !e.host.SuspectedHere {
		e.host.SuspectedHere = true
		a.viewOutdated = true
	}
}

// mergeSender applies what the sender of a message claims about itself, and
// reports whether this host had the sender recorded as failed. The caller holds
// mu.
func (a *Agent) mergeSender(m *peerpb.GossipMessage) (senderFailed bool) {
	sender := m.GetFrom()
	if sender.GetName() == "" || sender.Name == a.self.Name {
		a.mergeMember(sender, claimSource{dataCentre: sender.GetDataCentre(), aboutSelf: true})
		return sender.GetName() != ""
	}
	sender.ConfigVersion = max(sender.ConfigVersion, m.ConfigVersion)
	if e, ok := a.table[sender.Name]; ok && e.host.Incarnation == sender.Incarnation {
		// The message may refute the sender's failure, but its other claims
		// may date from when the sender was cut off.
		senderFailed = e.host.State == Suspect || e.host.State == Dead
	}
	a.mergeMember(sender, claimSource{dataCentre: sender.DataCentre, aboutSelf: true})
	e := a.table[sender.Name]
	if e.host.Incarnation == sender.Incarnation && e.host.State == Leaving && !e.declareDeadAt.IsZero() {
		e.declareDeadAt = time.Time{}
	}
	return senderFailed || compareClaims(e.host, hostFromEvent(sender)) > 0 && e.host.State != Leaving
}
