package lead

import "time"

// Asked notes that a host follows this one.
func (a *Agent) Asked(name string, cores float64) {
	if name == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.askers[name] = asker{at: time.Now(), cores: cores}
}

// recount counts the followers and reports whether the own entry must be
// written anew.
func (a *Agent) recount(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	hosts, least := 0, a.options.Host.Cores
	if a.leads() {
		hosts = 1
	}
	for name, asker := range a.askers {
		if now.Sub(asker.at) > heardFor {
			delete(a.askers, name)
			continue
		}
		hosts++
		if asker.cores > 0 {
			least = min(least, asker.cores)
		}
	}
	if a.mine == nil || hosts == a.mine.Hosts && least == a.mine.LeastCores {
		return false
	}
	next := *a.mine
	next.Hosts, next.LeastCores = hosts, least
	a.mine = &next
	a.set(a.fleet)
	return true
}

// Count is the number of hosts as far as it is believed: it grows at once, and
// falls to the greatest number of the last keepCount.
type Count struct {
	believed, largest int
	began             time.Time
}

// Update takes a number and returns the believed one.
func (c *Count) Update(hosts int, now time.Time) int {
	if hosts >= c.believed {
		c.believed, c.largest, c.began = hosts, 0, now
		return c.believed
	}
	c.largest = max(c.largest, hosts)
	if now.Sub(c.began) >= keepCount {
		c.believed = c.largest
		c.largest, c.began = 0, now
	}
	return c.believed
}
