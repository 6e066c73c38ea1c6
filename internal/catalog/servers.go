package catalog

import "time"

// reregisterGrace is the time after an outage of the source in which servers
// whose entries lapsed can register again. They stay known until this time ends.
const reregisterGrace = 2500 * time.Millisecond

// minLapseOutage is the shortest outage of the source in which entries can
// lapse.
const minLapseOutage = 1500 * time.Millisecond

// removalRetention is how long a removed incarnation is remembered, so that a
// late copy of one of its registrations does not add it again.
const removalRetention = time.Minute

// serverTable holds the known servers by id. The catalog's mutex guards it.
type serverTable struct {
	known   map[string]Server
	removed map[string]removal
	// dropLapsedAt holds, for servers whose entries were missing after an outage
	// of the source, the time at which they are dropped.
	dropLapsedAt map[string]time.Time
	sourceLostAt time.Time // start of the outage; zero while the source answers
	// graceUntil is the end of the period after an outage or a restoration in which a
	// missing entry may have lapsed, or be lost, although its server is alive.
	graceUntil time.Time
}

// removal is the last known registration of a removed server.
type removal struct {
	born     int64
	sequence uint64
	at       time.Time
}

func newServerTable() serverTable {
	return serverTable{known: map[string]Server{}, removed: map[string]removal{}, dropLapsedAt: map[string]time.Time{}}
}

// noteSourceLost records the start of an outage of the source, unless one lasts
// already.
func (s *serverTable) noteSourceLost(now time.Time) {
	if s.sourceLostAt.IsZero() {
		s.sourceLostAt = now
	}
}

// noteSourceAnswered ends an outage of the source. If it was long enough for
// entries to lapse, missing entries count as lapsed for reregisterGrace. After a
// shorter outage, such as a single failed call, missing entries count as removed
// at once, because their servers may be leaving.
func (s *serverTable) noteSourceAnswered(now time.Time) {
	if !s.sourceLostAt.IsZero() && now.Sub(s.sourceLostAt) >= minLapseOutage {
		s.graceUntil = now.Add(reregisterGrace)
	}
	s.sourceLostAt = time.Time{}
}

// noteSourceRestored begins the grace period after a restoration of the source, which
// has lost the newest entries however short its outage was.
func (s *serverTable) noteSourceRestored(now time.Time) { s.graceUntil = now.Add(reregisterGrace) }

// put stores a registration and reports whether anything but the sequence
// changed, apart from a warm-up that goes on: its rest is counted from its start. An entry
// that had lapsed counts as changed: a host without it learns of the server only by this
// registration. Registrations that are older than the known one are ignored: they can
// arrive late, and must not revert a server to not draining.
func (s *serverTable) put(server Server) bool {
	old, known := s.known[server.ID]
	if known && isOlder(server, old.Born, old.Sequence) {
		return false
	}
	if gone, ok := s.removed[server.ID]; ok && !known {
		if isOlder(server, gone.born, gone.sequence) || server.Born == gone.born && server.Sequence == gone.sequence {
			return false
		}
		delete(s.removed, server.ID)
	}
	_, lapsed := s.dropLapsedAt[server.ID]
	delete(s.dropLapsedAt, server.ID)
	goesOn := known && old.Born == server.Born && (server.WarmupLeft > 0) == (old.WarmupLeft > 0) && server.WarmupLeft <= old.WarmupLeft
	switch {
	case goesOn:
		server.WarmupSince = max(server.WarmupSince, old.WarmupSince)
		old.WarmupLeft, old.WarmupSince = server.WarmupLeft, server.WarmupSince
	case server.WarmupSince == 0 && (server.WarmupLeft > 0 || known && old.WarmupLeft > 0):
		server.WarmupSince = server.Sequence
	}
	s.known[server.ID] = server
	old.Sequence = server.Sequence
	return !known || lapsed || old != server
}

func isOlder(server Server, born int64, sequence uint64) bool {
	return server.Born < born || server.Born == born && server.Sequence < sequence
}

// keepIfLapsed reports whether the entry of a known server may be missing only
// because it lapsed; the server is then kept until the end of the grace period.
func (s *serverTable) keepIfLapsed(id string, now time.Time) bool {
	if !now.Before(s.graceUntil) {
		return false
	}
	if _, ok := s.dropLapsedAt[id]; !ok {
		s.dropLapsedAt[id] = s.graceUntil
	}
	return true
}

// noteLapsed records that the entries of servers are missing, as a peer found out. Servers
// that had lapsed here before keep their time.
func (s *serverTable) noteLapsed(ids []string, before map[string]time.Time, now time.Time) {
	for _, id := range ids {
		if _, known := s.known[id]; !known {
			continue
		}
		s.dropLapsedAt[id] = now.Add(reregisterGrace)
		if at, lapsed := before[id]; lapsed {
			s.dropLapsedAt[id] = at
		}
	}
}

func (s *serverTable) drop(server Server, now time.Time) {
	delete(s.known, server.ID)
	delete(s.dropLapsedAt, server.ID)
	s.removed[server.ID] = removal{born: server.Born, sequence: server.Sequence, at: now}
}

// expired returns the lapsed servers whose grace period is over, and forgets old
// removals.
func (s *serverTable) expired(now time.Time) []Server {
	var gone []Server
	for id, at := range s.dropLapsedAt {
		if !now.Before(at) {
			gone = append(gone, s.known[id])
		}
	}
	for id, r := range s.removed {
		if now.Sub(r.at) > removalRetention {
			delete(s.removed, id)
		}
	}
	return gone
}
