package peer

import "time"

// armSilenceTimerLocked arms the timer of checkSilence. The timer runs only
// while sub-requests or a ping are outstanding, so that idle streams cost
// nothing.
func (s *stream) armSilenceTimerLocked(after time.Duration) {
	if s.silenceTimerArmed || s.failed {
		return
	}
	s.silenceTimerArmed = true
	time.AfterFunc(after, s.checkSilence)
}

// checkSilence fails a stream whose ping wasn't answered in time. Otherwise it
// arms the timer again while sub-requests or a ping are outstanding.
func (s *stream) checkSilence() {
	s.mu.Lock()
	s.silenceTimerArmed = false
	if s.failed || (len(s.sent) == 0 && s.awaitedPong == 0) {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	if s.awaitedPong != 0 && now.Sub(s.pingedAt) >= s.link.opts.PingTimeout {
		s.mu.Unlock()
		s.fail(&SilentError{Addr: s.link.addr})
		return
	}
	s.armSilenceTimerLocked(s.nextCheckLocked(now))
	s.mu.Unlock()
}

// nextCheckLocked sends a ping when the stream has been silent for
// SilenceBeforePing, and returns the time until the next check.
func (s *stream) nextCheckLocked(now time.Time) time.Duration {
	if s.awaitedPong != 0 {
		return s.pingedAt.Add(s.link.opts.PingTimeout).Sub(now)
	}
	silent := now.Sub(s.silentSinceLocked())
	if silent < s.link.opts.SilenceBeforePing {
		return s.link.opts.SilenceBeforePing - silent
	}
	s.pingLocked(now)
	return s.link.opts.PingTimeout
}

// pingLocked queues a ping for the writer.
func (s *stream) pingLocked(now time.Time) {
	s.lastPing++
	s.pingToSend = s.lastPing
	s.awaitedPong = s.lastPing
	s.pingedAt = now
	s.wakeWriter()
}

// pingIfIdle pings a stream that has no outstanding sub-requests and on which
// nothing was received for idleFor.
func (s *stream) pingIfIdle(idleFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	idle := len(s.sent) == 0 && s.awaitedPong == 0 && now.Sub(s.lastRecvAt) >= idleFor
	if s.failed || !idle {
		return
	}
	s.pingLocked(now)
	s.armSilenceTimerLocked(s.link.opts.PingTimeout)
}
