package ratelimit

import (
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// Since returns the limits that changed after a revision of this registry, and its
// present revision. Revision 0 gives all.
func (r *Registry) Since(revision uint64) ([]Known, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == r.revision {
		return nil, r.revision
	}
	r.forget()
	return r.knownLocked(func(l *replicaLimit) bool { return l.revision > revision }), r.revision
}

// knownLocked returns the limits for which include returns true. The caller holds mu.
func (r *Registry) knownLocked(include func(*replicaLimit) bool) []Known {
	now := r.options.Clock()
	var out []Known
	for replica, known := range r.replicas {
		if include(known) {
			out = append(out, Known{
				Replica: replica, Limited: known.limited(), PerSecond: known.limit.PerSecond, Age: now - known.observedAt,
			})
		}
	}
	return out
}

// Learn records limits that a peer knows. Those that this host has newer news of are
// ignored. Malformed ones give *MessageError, and the others are recorded.
func (r *Registry) Learn(limits []Known) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failed error
	for i := range limits {
		if err := limits[i].validate(); err != nil {
			failed = err
			continue
		}
		r.learnOne(&limits[i])
	}
	return failed
}

// learnOne records one limit of a peer. The caller holds mu.
func (r *Registry) learnOne(k *Known) {
	observedAt := r.options.Clock() - k.Age
	known := r.replicas[k.Replica]
	if known == nil && !k.Limited || known != nil && observedAt <= known.observedAt {
		return
	}
	r.set(k.Replica, k.limit(), observedAt, sourcePeer)
}

// permit answers the wants of a host for the replicas of the data centre that this
// host leads.
func (r *Registry) permit(wants []want, self Leader) []permission {
	share := 1.0
	if r.options.Clock()-self.Since < handoverTime {
		share = handoverShare
	}
	out := make([]permission, len(wants))
	for i, w := range wants {
		out[i] = r.permitOne(w.Replica, w.Count, share)
	}
	return out
}

// permitOne grants permits for a share of the limit of a replica.
func (r *Registry) permitOne(replica wire.ReplicaID, count int, share float64) permission {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.limitedLocked(replica)
	if known == nil {
		// The host learns from the leader that it follows that the limit has ended.
		return permission{}
	}
	granted, retryIn := r.grantor.grant(replica, share*known.rate(), count, r.options.Clock())
	r.metrics.granted.Inc(int64(granted))
	return permission{Granted: granted, RetryIn: retryIn}
}
