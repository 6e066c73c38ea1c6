package owner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// dataCentreSilenceTimeout is the time without an answer or a new connection
	// from a data centre, while sub-requests wait there, after which it may be
	// unreachable. It is above the longest pause of a replica, 250 ms.
	dataCentreSilenceTimeout = 400 * time.Millisecond
	// minOverdueReplicas is the number of replicas that must be overdue before a
	// data centre counts as silent, so that one long sub-request or one lost
	// replica is not taken for a network partition. While fewer are, as on a host that
	// uses only a few, or whose replicas usually take long, so many others are dialled.
	minOverdueReplicas = 3
	// overdueDialTime is the time after which the first dial to a replica is overdue. The
	// network accepts a connection even while the replica has no free slot.
	overdueDialTime = 150 * time.Millisecond
	// dataCentreCheckPeriod is the time between two checks for silent data
	// centres.
	dataCentreCheckPeriod = 100 * time.Millisecond
	// silentProbePeriod is the time between two rounds of probes of a silent data
	// centre, and silentProbes the number of replicas that a round probes.
	silentProbePeriod = 500 * time.Millisecond
	silentProbes      = 2
)

// dataCentre tracks whether the replicas of one data centre respond to this
// host.
type dataCentre struct {
	name              string
	lastHeardNanos    atomic.Int64 // Unix time in ns of the last answer or new connection
	waitingSinceNanos atomic.Int64 // Unix time in ns of the first sub-request sent since lastHeardNanos; 0 means none
	silent            atomic.Bool
	nextProbeAt       time.Time // of a data centre that is or may be silent; used by Owner.Run only
	dialledFor        int64     // waitingSinceNanos when dialSuspected last dialled; used by Owner.Run only
	// evacuated is set while the replicas are out of use; evacuatedAt is the last start of
	// that, zero if there was none. Both are written under Owner.configMu.
	evacuated   atomic.Bool
	evacuatedAt time.Time
}

// dataCentreRegistry holds the data centres of all replicas configured so far.
type dataCentreRegistry struct {
	mu     sync.Mutex
	byName map[string]*dataCentre
}

func (d *dataCentreRegistry) getOrCreate(name string) *dataCentre {
	d.mu.Lock()
	defer d.mu.Unlock()
	dc := d.byName[name]
	if dc == nil {
		dc = &dataCentre{name: name}
		d.byName[name] = dc
	}
	return dc
}

func (d *dataCentreRegistry) all() []*dataCentre {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*dataCentre, 0, len(d.byName))
	for _, dc := range d.byName {
		out = append(out, dc)
	}
	return out
}

// recordSent records that a sub-request was sent to the data centre, or a dial started.
func (d *dataCentre) recordSent(now time.Time) { d.waitingSinceNanos.CompareAndSwap(0, now.UnixNano()) }

// recordHeard records an answer or a new connection, and reports whether the data
// centre counted as silent until then.
func (d *dataCentre) recordHeard(now time.Time) bool {
	d.lastHeardNanos.Store(now.UnixNano())
	d.waitingSinceNanos.Store(0)
	return d.silent.Swap(false)
}

// LastHeardOutside returns when a replica outside the data centre except last
// answered or accepted a connection. The zero time means never.
func (o *Owner) LastHeardOutside(except string) time.Time {
	var newest int64
	for _, dc := range o.dataCentres.all() {
		if dc.name != except {
			newest = max(newest, dc.lastHeardNanos.Load())
		}
	}
	if newest == 0 {
		return time.Time{}
	}
	return time.Unix(0, newest)
}

// detectSilentDataCentres marks data centres that have become unreachable. Their
// replicas count as unusable until one of them responds again, so that a query
// does not wait for each of them in turn.
func (o *Owner) detectSilentDataCentres(now time.Time) {
	for _, dc := range o.dataCentres.all() {
		if dc.silent.Load() {
			o.probeSilentDataCentre(dc, now)
			continue
		}
		since := dc.waitingSinceNanos.Load()
		if since == 0 || now.UnixNano()-since < int64(dataCentreSilenceTimeout) {
			continue
		}
		n := o.countUnheardReplicas(dc, now)
		switch {
		case n.overdue >= minOverdueReplicas, n.overdue+n.failing >= minOverdueReplicas && dc.dialledFor == since:
			dc.silent.Store(true)
			dc.nextProbeAt = now.Add(silentProbePeriod)
			o.options.Logger.WithFields(log.Fields{
				"data_centre": dc.name, "overdue_replicas": n.overdue, "failing_replicas": n.failing,
				"waiting": time.Duration(now.UnixNano() - since),
			}).Warn("data centre silent")
		case n == unheardReplicas{}:
			// What was waited for was cancelled.
			dc.waitingSinceNanos.CompareAndSwap(since, 0)
		case n.failing+n.waiting > 0 && !now.Before(dc.nextProbeAt):
			o.dialSuspected(dc, now)
			dc.dialledFor = since
		}
	}
}

// dialSuspected dials some replicas of a data centre that may be silent: one that accepts
// shows that it is not. Those whose last dial failed come last.
func (o *Owner) dialSuspected(dc *dataCentre, now time.Time) {
	dc.nextProbeAt = now.Add(silentProbePeriod)
	dials := 0
	for _, failed := range []bool{false, true} {
		for _, r := range o.table.Load().replicas { // in random order
			if r.dataCentre == dc && r.dialReachability(failed, now) {
				if dials++; dials == minOverdueReplicas {
					return
				}
			}
		}
	}
}

// probeSilentDataCentre probes some replicas of a silent data centre. It gets no new
// work, so that without probes nothing would show that it answers again.
func (o *Owner) probeSilentDataCentre(dc *dataCentre, now time.Time) {
	if now.Before(dc.nextProbeAt) {
		return
	}
	dc.nextProbeAt = now.Add(silentProbePeriod)
	probes := 0
	for _, r := range o.table.Load().replicas { // in random order
		if r.dataCentre == dc && r.probeReachability(now) {
			if probes++; probes == silentProbes {
				return
			}
		}
	}
}

// unheardReplicas are numbers of replicas of a data centre.
type unheardReplicas struct {
	overdue int // they have an overdue sub-request, perhaps a cancelled one, or an overdue dial
	failing int // the others to which dials fail since the data centre was last heard
	waiting int // those to which a sub-request that was not cancelled, or an overdue dial, has no answer
}

// countUnheardReplicas counts the replicas of a data centre that have not answered.
func (o *Owner) countUnheardReplicas(dc *dataCentre, now time.Time) (n unheardReplicas) {
	lastHeard := time.Unix(0, dc.lastHeardNanos.Load())
	for _, r := range o.table.Load().replicas {
		if r.dataCentre != dc {
			continue
		}
		r.mu.Lock()
		switch {
		case r.hasOverdueRun(r.estimatedLatency(now), now) || r.hasOverdueDial(now):
			n.overdue++
		case r.pool.failingSince.After(lastHeard):
			n.failing++
		}
		if r.hasOverdueDial(now) || r.isWaitedFor() {
			n.waiting++
		}
		r.mu.Unlock()
	}
	return n
}

// isWaitedFor reports whether a running sub-request is still waited for.
func (r *replica) isWaitedFor() bool {
	return slices.ContainsFunc(r.pool.busy, func(c *pooledConn) bool {
		return c.running != nil && c.running.state.Load() != stateReplied
	})
}

// recordReachable records that the replica answered or accepted a connection.
func (r *replica) recordReachable(now time.Time, fx *effects) {
	if r.dataCentre != nil && r.dataCentre.recordHeard(now) {
		fx.log("data centre heard again", log.Fields{"data_centre": r.dataCentre.name, "replica": string(r.id)})
	}
}
