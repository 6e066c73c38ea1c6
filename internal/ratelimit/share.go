package ratelimit

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
				Replica: replica, Limited: known.stated(), PerSecond: known.limit.PerSecond, Age: now - known.observedAt,
				Cold: r.statedColdOf(replica),
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
	if k.Cold != nil {
		r.learnCold(k.Replica, k.Cold)
	}
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
	handover := r.options.Clock()-self.Since < handoverTime
	out := make([]permission, len(wants))
	for i := range wants {
		out[i] = r.permitOne(&wants[i], handover)
	}
	return out
}

// permitOne answers one want. During the handover from another leader it grants a share of
// the limit only.
func (r *Registry) permitOne(w *want, handover bool) permission {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.Cold != nil {
		r.learnCold(w.Replica, w.Cold)
	}
	known := r.limitedLocked(w.Replica)
	if known == nil {
		// The host learns from the leader that it follows that a stated limit has ended. A
		// grantor that does not know the replica yet says nothing of its warm-up.
		return permission{Warm: w.Cold != nil && r.warmUps[w.Replica] != nil}
	}
	share := 1.0
	switch {
	case handover && known.warmUpRate > 0:
		share = warmUpHandoverShare
	case handover:
		share = handoverShare
	}
	granted, retryIn := r.grantor.grant(w.Replica, share*known.rate(), known.burstTime(), w.Count, r.options.Clock())
	r.metrics.granted.Inc(int64(granted))
	return permission{Granted: granted, RetryIn: retryIn}
}
