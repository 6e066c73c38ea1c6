package aggregate

import "time"

// Candidates returns the peers of which Forward would choose one at random now; none: it would
// return *gateway.NotForwardedError. It changes nothing.
func (c *Client) Candidates() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usablePeers(time.Now())
}

// usablePeers returns the peers that are not avoided, out of the first group that has any. The
// caller holds mu.
func (c *Client) usablePeers(now time.Time) []Peer {
	for _, group := range c.options.Peers() {
		if usable := c.withoutAvoided(group, now); len(usable) > 0 {
			return usable
		}
	}
	return nil
}

// notAvoided returns the peers that are not avoided, in their order.
func (c *Client) notAvoided(peers []Peer, now time.Time) []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withoutAvoided(peers, now)
}

// withoutAvoided is notAvoided for a caller that holds mu.
func (c *Client) withoutAvoided(peers []Peer, now time.Time) []Peer {
	var usable []Peer
	for _, peer := range peers {
		if !now.Before(c.avoidUntil[peer.Addr]) {
			usable = append(usable, peer)
		}
	}
	return usable
}
