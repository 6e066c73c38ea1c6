package owner

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// leavingRetention is how long an incarnation that said that it leaves is remembered,
	// so that an old entry of the store or an old state of a peer does not bring it back.
	leavingRetention = 10 * time.Minute
	// maxLeavingServers limits the incarnations that are remembered.
	maxLeavingServers = 4096
	// longBackoff is the time above which a backoff is shown as long. An operator must be
	// able to tell a replica that is out for hours by its own wish from a lost one.
	longBackoff = time.Minute
	// maxBackoffServers limits the incarnations whose backoffs are remembered. Gone ones
	// with long times would pile up; a forgotten one states its time again.
	maxBackoffServers = 1 << 15
)

// notices are what servers say of themselves to this host: that they leave, or want no
// requests for a time. They are kept apart from the replicas, because a replica that
// leaves the configuration may come back into it by mistake. The catalog's incarnations
// tell a restarted server from the one before. Owner.noticesMu guards them.
type notices struct {
	leavingSince map[wire.ReplicaID]time.Duration
	backoffUntil map[wire.ReplicaID]time.Duration
	// long holds those of backoffUntil that asked for more than longBackoff.
	long map[wire.ReplicaID]struct{}
}

func newNotices() notices {
	return notices{
		leavingSince: map[wire.ReplicaID]time.Duration{}, backoffUntil: map[wire.ReplicaID]time.Duration{},
		long: map[wire.ReplicaID]struct{}{},
	}
}

// noteLeaving records that a server leaves and reports whether that is new.
func (n *notices) noteLeaving(id wire.ReplicaID, now time.Duration) bool {
	if _, known := n.leavingSince[id]; known {
		return false
	}
	for other, since := range n.leavingSince {
		if now-since > leavingRetention || len(n.leavingSince) >= maxLeavingServers {
			delete(n.leavingSince, other)
		}
	}
	n.leavingSince[id] = now
	return true
}

// noteBackoff records that a server wants no requests for a time, and reports whether that
// is longer than what it said before.
func (n *notices) noteBackoff(id wire.ReplicaID, backoff, now time.Duration) bool {
	n.forgetEnded(now)
	until := now + backoff
	if until <= max(now, n.backoffUntil[id]) {
		return false
	}
	if len(n.backoffUntil) >= maxBackoffServers {
		n.forgetLongest()
	}
	n.backoffUntil[id] = until
	if backoff > longBackoff {
		n.long[id] = struct{}{}
	}
	return true
}

// forgetEnded forgets the backoffs that are over.
func (n *notices) forgetEnded(now time.Duration) {
	for id, until := range n.backoffUntil {
		if until <= now {
			delete(n.backoffUntil, id)
			delete(n.long, id)
		}
	}
}

// forgetLongest forgets the backoff that ends last.
func (n *notices) forgetLongest() {
	var last wire.ReplicaID
	for id, until := range n.backoffUntil {
		if until >= n.backoffUntil[last] {
			last = id
		}
	}
	delete(n.backoffUntil, last)
	delete(n.long, last)
}

// updateLongBackoffs updates the gauge of the configured replicas that want no requests for
// a long time.
func (o *Owner) updateLongBackoffs() {
	table := o.table.Load()
	count := 0
	o.noticesMu.Lock()
	now := o.options.Clock()
	for id := range o.notices.long {
		if table.replicas[id] != nil && o.notices.backoffUntil[id] > now {
			count++
		}
	}
	o.noticesMu.Unlock()
	o.metrics.longBackoffs.Update(float64(count))
}

// hasLeft reports whether a server has said that it leaves.
func (o *Owner) hasLeft(id wire.ReplicaID) bool {
	o.noticesMu.Lock()
	defer o.noticesMu.Unlock()
	_, leaving := o.notices.leavingSince[id]
	return leaving
}

// NoteLeaving records that servers have said to another host that they leave. They get
// nothing more from this host, as if they had told it.
func (o *Owner) NoteLeaving(ids []wire.ReplicaID) {
	for _, id := range ids {
		var fx effects
		if r := o.table.Load().replicas[id]; r != nil {
			r.mu.Lock()
			r.noteNotices(true, 0, &fx)
			r.mu.Unlock()
			fx.applyAsync(o)
			continue
		}
		o.noticesMu.Lock()
		o.notices.noteLeaving(id, o.options.Clock())
		o.noticesMu.Unlock()
	}
}

// BackoffOf returns for how long a server wants no requests from this host; 0: it takes them.
func (o *Owner) BackoffOf(id wire.ReplicaID) time.Duration {
	if o.backoffCount.Load() == 0 {
		return 0
	}
	o.noticesMu.Lock()
	defer o.noticesMu.Unlock()
	until, backsOff := o.notices.backoffUntil[id]
	if !backsOff {
		return 0
	}
	return max(0, until-o.options.Clock())
}

// noteNotices records what a response says of the server. Queued sub-requests go to
// other replicas. The caller holds the replica's mutex.
func (r *replica) noteNotices(leaving bool, backoff time.Duration, fx *effects) {
	if !leaving && backoff <= 0 {
		return
	}
	o := r.owner
	o.noticesMu.Lock()
	now := o.options.Clock()
	nowLeaving := leaving && o.notices.noteLeaving(r.id, now)
	longer := backoff > 0 && o.notices.noteBackoff(r.id, backoff, now)
	o.backoffCount.Store(int32(len(o.notices.backoffUntil)))
	o.noticesMu.Unlock()
	if nowLeaving {
		r.setLeaving(true, fx)
	}
	if longer {
		fx.log("replica asked to back off", logFields(r, "for", backoff))
		if backoff > longBackoff {
			fx.log("replica asked to back off for long", logFields(r, "for", backoff))
		}
		r.refuseAllQueued(wire.ReasonBackoff, fx)
		r.beginSlowStart() // it gets a few sub-requests first when the time is over
	}
}
