// Package route decides which entry host owns each replica and sends sub-requests to
// the owners of their replicas.
package route

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ownershipUnit identifies, by its hash, a set of replicas that have the same owner:
// the replicas in one data centre that have the same ordinal in a block of
// consecutive shards of a service. Because of the ordinal, the replicas of a shard
// tend to have different owners, so that a hedge avoids a host that is slow.
type ownershipUnit uint64

// replicaPlacement holds what determines the owner of a replica.
type replicaPlacement struct {
	unit       ownershipUnit
	dataCentre string
}

// placementTable holds the placement of every replica of one configuration.
type placementTable struct {
	version  uint64
	replicas map[wire.ReplicaID]replicaPlacement
}

func newPlacementTable(cfg *release.Config) *placementTable {
	p := &placementTable{version: cfg.Version, replicas: map[wire.ReplicaID]replicaPlacement{}}
	for _, service := range cfg.Services {
		p.addService(service)
	}
	return p
}

func (p *placementTable) addService(service *release.Service) {
	blockSize := max(service.OwnershipBlock, 1)
	for i := range service.Shards {
		shard := &service.Shards[i]
		for ordinal, replica := range shard.Replicas {
			p.replicas[replica.Addr] = replicaPlacement{
				unit:       hashUnit(service.Name, shard.ID/blockSize, uint32(ordinal), replica.DataCentre),
				dataCentre: replica.DataCentre,
			}
		}
	}
}

// hashUnit hashes the block number, the ordinal of the replica in its shard, the
// service and the data centre. All hosts must compute the same value.
func hashUnit(service string, block, ordinal uint32, dataCentre string) ownershipUnit {
	var digest xxhash.Digest
	digest.Reset()
	var encoded [8]byte
	binary.LittleEndian.PutUint32(encoded[:4], block)
	binary.LittleEndian.PutUint32(encoded[4:], ordinal)
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00" + dataCentre + "\x00")
	_, _ = digest.Write(encoded[:])
	return ownershipUnit(digest.Sum64())
}

// hostSet holds the hosts of one data centre that may own replicas.
type hostSet struct {
	hosts        []member.Host
	nameHashes   []uint64 // of the host names, so that a restarted host keeps its replicas
	mu           sync.RWMutex
	ownerIndexes map[ownershipUnit]int // cached results of highestScoringHost, as indexes of hosts; guarded by mu
}

// newHostSets groups the hosts of a view that may own replicas by data centre: the
// live ones that have a configuration. A data centre without such a host falls back
// to its live hosts without one, which refuse every sub-request, and its suspect
// hosts, which may be gone.
func newHostSets(view *member.View) map[string]*hostSet {
	eligible := map[string]*hostSet{}
	fallback := map[string]*hostSet{}
	for _, host := range view.Hosts {
		switch {
		case host.State == member.Live && host.ConfigVersion > 0:
			addHost(eligible, host)
		case host.State == member.Live || host.State == member.Suspect:
			addHost(fallback, host)
		}
	}
	for dataCentre, set := range fallback {
		if eligible[dataCentre] == nil {
			eligible[dataCentre] = set
		}
	}
	return eligible
}

func addHost(sets map[string]*hostSet, host member.Host) {
	set := sets[host.DataCentre]
	if set == nil {
		set = &hostSet{ownerIndexes: map[ownershipUnit]int{}}
		sets[host.DataCentre] = set
	}
	set.hosts = append(set.hosts, host)
	set.nameHashes = append(set.nameHashes, xxhash.Sum64String(host.Name))
}

// sameOwners reports whether both sets give every unit the same owner at the same
// address. It returns false if other is nil.
func (s *hostSet) sameOwners(other *hostSet) bool {
	if other == nil || len(s.hosts) != len(other.hosts) {
		return false
	}
	for i := range s.hosts {
		if s.hosts[i].Name != other.hosts[i].Name || s.hosts[i].Addr != other.hosts[i].Addr {
			return false
		}
	}
	return true
}

// owner returns the host with the highest rendezvous hash score for the unit. It
// caches the result.
func (s *hostSet) owner(u ownershipUnit) *member.Host {
	s.mu.RLock()
	index, ok := s.ownerIndexes[u]
	s.mu.RUnlock()
	if ok {
		return &s.hosts[index]
	}
	index = s.highestScoringHost(u)
	s.mu.Lock()
	s.ownerIndexes[u] = index
	s.mu.Unlock()
	return &s.hosts[index]
}

// highestScoringHost returns the index of the host with the highest rendezvous hash
// score for the unit.
func (s *hostSet) highestScoringHost(u ownershipUnit) int {
	best, bestScore := 0, uint64(0)
	for i, hash := range s.nameHashes {
		if score := mix64(uint64(u) ^ hash); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mix64 is the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
