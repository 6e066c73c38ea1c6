package ratelimit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// prepareTimeout is the longest time that a query waits for permits.
	prepareTimeout = 50 * time.Millisecond
	// prepareRounds is the number of replicas of a shard that are asked for.
	prepareRounds = 2
	// maxSpare is the number of permits for a shard above which a host asks for no more:
	// one for a query that is about to use it, one for the next.
	maxSpare = 1
)

// Prepare asks for permits for a query of a service: one for each shard with limited
// replicas, for this query or the next one. It waits for the answers of the grantors only
// where the query can't do without: it returns as soon as they have no permit, because
// such a query is better refused at once.
func (r *Registry) Prepare(ctx context.Context, service *release.Service) {
	if !r.hasLimits() || service == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	for round := range prepareRounds {
		answers := r.askForShards(service, round)
		if len(answers) == 0 {
			return
		}
		for _, answered := range answers {
			select {
			case <-answered:
			case <-ctx.Done():
				return
			}
		}
	}
}

// askForShards asks for a permit for each shard with limited replicas or, after the first
// round, for each shard without a usable replica. It returns the channels that are closed
// when the grantors have answered for shards without one.
func (r *Registry) askForShards(service *release.Service, round int) map[string]chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := map[string]chan struct{}{}
	for i := range service.Shards {
		choice := r.choose(&service.Shards[i])
		if choice.known == nil || choice.usable && round > 0 {
			continue
		}
		choice.known.wanted++
		a := r.askSoon(choice.replica, choice.known)
		if a != nil && !choice.usable {
			answers[a.dataCentre] = a.waitForAnswer()
		}
	}
	return answers
}

// shardChoice says whether a replica of a shard can be used now, and for which one to
// ask a permit; known is nil if for none.
type shardChoice struct {
	usable  bool
	replica wire.ReplicaID
	known   *replicaLimit
}

// choose chooses a replica of a shard to ask a permit for, at random among those whose
// grantor may have one, unless this host holds enough. The caller holds mu.
func (r *Registry) choose(shard *release.Shard) shardChoice {
	now := r.options.Clock()
	var choice shardChoice
	candidates, held := 0, 0
	for i := range shard.Replicas {
		replica := shard.Replicas[i].Addr
		if r.options.Unusable(replica) {
			continue
		}
		known := r.limitedLocked(replica)
		if known == nil {
			choice.usable = true
			continue
		}
		held += known.permits.held(now)
		choice.usable = choice.usable || r.hasPermit(replica, known)
		if now < known.deniedUntil || r.askerOf(replica).isLost(now) {
			continue
		}
		if candidates++; rand.IntN(candidates) == 0 {
			choice.replica, choice.known = replica, known
		}
	}
	if held > maxSpare {
		choice.known = nil
	}
	return choice
}
