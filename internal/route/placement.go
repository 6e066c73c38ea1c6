// Package route decides which entry host owns which replica and groups
// sub-requests by owner.
package route

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// unit is the hash of an ownership unit: the replicas of one ordinal in one
// block of consecutive shards of a service, in one data centre. The ordinal
// gives two replicas of a shard different owners, so that a hedge doesn't pass
// through the host that is slow.
type unit uint64

type place struct {
	unit       unit
	dataCentre string
}

// placement is the place of every replica of one configuration.
type placement struct {
	version  uint64
	replicas map[wire.ReplicaID]place
}

func newPlacement(cfg *release.Config) *placement {
	p := &placement{version: cfg.Version, replicas: map[wire.ReplicaID]place{}}
	for _, service := range cfg.Services {
		p.addService(service)
	}
	return p
}

func (p *placement) addService(service *release.Service) {
	block := max(service.OwnershipBlock, 1)
	for i := range service.Shards {
		shard := &service.Shards[i]
		for ordinal, replica := range shard.Replicas {
			p.replicas[replica.Addr] = place{
				unit:       unitOf(service.Name, shard.ID/block, uint32(ordinal), replica.DataCentre),
				dataCentre: replica.DataCentre,
			}
		}
	}
}

func unitOf(service string, block, ordinal uint32, dataCentre string) unit {
	var digest xxhash.Digest
	digest.Reset()
	var numbers [8]byte
	binary.LittleEndian.PutUint32(numbers[:4], block)
	binary.LittleEndian.PutUint32(numbers[4:], ordinal)
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00" + dataCentre + "\x00")
	_, _ = digest.Write(numbers[:])
	return unit(digest.Sum64())
}

// hostSet is the hosts of one data centre that may own replicas.
type hostSet struct {
	hosts  []member.Host
	hashes []uint64 // of the host names: a restarted host keeps its replicas
	mu     sync.RWMutex
	owners map[unit]int
}

// newHostSets groups the hosts of a view by data centre. A data centre without
// a live host that has a configuration falls back to the others: those without
// one refuse every sub-request, and suspect ones may be gone.
func newHostSets(view *member.View) map[string]*hostSet {
	able := map[string]*hostSet{}
	others := map[string]*hostSet{}
	for _, host := range view.Hosts {
		switch {
		case host.State == member.Live && host.ConfigVersion > 0:
			addHost(able, host)
		case host.State == member.Live || host.State == member.Suspect:
			addHost(others, host)
		}
	}
	for dataCentre, set := range others {
		if able[dataCentre] == nil {
			able[dataCentre] = set
		}
	}
	return able
}

func addHost(sets map[string]*hostSet, host member.Host) {
	set := sets[host.DataCentre]
	if set == nil {
		set = &hostSet{owners: map[unit]int{}}
		sets[host.DataCentre] = set
	}
	set.hosts = append(set.hosts, host)
	set.hashes = append(set.hashes, xxhash.Sum64String(host.Name))
}

// same reports whether both sets give every unit the same owner at the same
// address.
func (s *hostSet) same(o *hostSet) bool {
	if o == nil || len(s.hosts) != len(o.hosts) {
		return false
	}
	for i := range s.hosts {
		if s.hosts[i].Name != o.hosts[i].Name || s.hosts[i].Addr != o.hosts[i].Addr {
			return false
		}
	}
	return true
}

// owner returns the host with the highest rendezvous score for the unit.
func (s *hostSet) owner(u unit) *member.Host {
	s.mu.RLock()
	index, ok := s.owners[u]
	s.mu.RUnlock()
	if ok {
		return &s.hosts[index]
	}
	index = s.rank(u)
	s.mu.Lock()
	s.owners[u] = index
	s.mu.Unlock()
	return &s.hosts[index]
}

func (s *hostSet) rank(u unit) int {
	best, bestScore := 0, uint64(0)
	for i, hash := range s.hashes {
		if score := mix(uint64(u) ^ hash); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
