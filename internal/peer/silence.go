package peer

import "time"

// watchLocked arms the silence timer. It runs only while work or a ping is
// outstanding, so that idle streams cost nothing.
func (s *stream) watchLocked(after time.Duration) {
	if s.watching || s.failed {
		return
	}
	s.watching = true
	time.AfterFunc(after, s.checkSilence)
}

func (s *stream) checkSilence() {
	s.mu.Lock()
	s.watching = false
	if s.failed || (len(s.sent) == 0 && s.pinged == 0) {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if s.pinged != 0 && now.Sub(s.pingAt) >= s.link.opts.PingTimeout {
		s.mu.Unlock()
		s.fail(&SilentError{Addr: s.link.addr})
		return
	}
	s.watchLocked(s.nextCheckLocked(now))
	s.mu.Unlock()
}

// nextCheckLocked sends a ping when the stream has been quiet for too long and
// returns when to look again.
func (s *stream) nextCheckLocked(now time.Time) time.Duration {
	if s.pinged != 0 {
		return s.pingAt.Add(s.link.opts.PingTimeout).Sub(now)
	}
	quiet := now.Sub(s.quietSinceLocked())
	if quiet < s.link.opts.SilenceBeforePing {
		return s.link.opts.SilenceBeforePing - quiet
	}
	s.pingLocked(now)
	return s.link.opts.PingTimeout
}

func (s *stream) pingLocked(now time.Time) {
	s.nextPing++
	s.ping = s.nextPing
	s.pinged = s.nextPing
	s.pingAt = now
	s.wakeWriter()
}

// pingIdle checks a stream that has no work and brought nothing for quiet.
func (s *stream) pingIdle(quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	idle := len(s.sent) == 0 && s.pinged == 0 && now.Sub(s.lastRecv) >= quiet
	if s.failed || !idle {
		return
	}
	s.pingLocked(now)
	s.watchLocked(s.link.opts.PingTimeout)
}
