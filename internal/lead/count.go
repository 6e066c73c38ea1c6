package lead

import "time"

// RecordFollower records that a host follows this one, for followerTTL. peerAddr is
// the address at which it serves other hosts, "" if it is unknown; cores is its
// processor share, 0 if it is unknown.
func (a *Agent) RecordFollower(name, peerAddr string, cores float64) {
	if name == "" || !isCores(cores) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rememberHost(peerAddr)
	a.followers[name] = follower{polledAt: time.Now(), peerAddr: peerAddr, cores: cores}
}

// Followers returns the addresses for peers of the hosts that follow this one.
func (a *Agent) Followers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var addrs []string
	for _, f := range a.followers {
		if f.peerAddr != "" && now.Sub(f.polledAt) <= followerTTL {
			addrs = append(addrs, f.peerAddr)
		}
	}
	return addrs
}

// updateFollowerCount sets Hosts and LeastCores of the own seat from the
// followers, and reports whether the seat has changed and must be written to the
// store.
func (a *Agent) updateFollowerCount(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	hosts, leastCores := 0, a.options.Host.Cores
	if a.leads() {
		hosts = 1
	}
	for name, f := range a.followers {
		if now.Sub(f.polledAt) > followerTTL {
			delete(a.followers, name)
			continue
		}
		hosts++
		if f.cores > 0 {
			leastCores = min(leastCores, f.cores)
		}
	}
	if a.ownSeat == nil || hosts == a.ownSeat.Hosts && leastCores == a.ownSeat.LeastCores {
		return false
	}
	next := *a.ownSeat
	next.Hosts, next.LeastCores = hosts, leastCores
	a.ownSeat = &next
	a.setFleet(a.fleet)
	return true
}

// HostCount smooths the number of hosts: it grows at once, and falls only after
// countRetention, to the greatest number seen in that time.
type HostCount struct {
	current, largestInWindow int
	windowStart              time.Time
}

// Update adds a new number of hosts and returns the smoothed one.
func (c *HostCount) Update(hosts int, now time.Time) int {
	if hosts >= c.current {
		c.current, c.largestInWindow, c.windowStart = hosts, 0, now
		return c.current
	}
	c.largestInWindow = max(c.largestInWindow, hosts)
	if now.Sub(c.windowStart) >= countRetention {
		c.current = c.largestInWindow
		c.largestInWindow, c.windowStart = 0, now
	}
	return c.current
}
