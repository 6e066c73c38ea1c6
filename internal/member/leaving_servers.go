package member

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// returnedServerRetention is the time for which a backend server that is no
// longer leaving is kept, so that a late event can't mark it as leaving again.
const returnedServerRetention = 10 * time.Minute

// serverState is the state of a backend server in a revision of the host list.
type serverState struct {
	leaving   bool
	revision  uint64
	changedAt time.Time
}

// UpdateHostList applies a newer host list. The entry hosts in it are contacted
// when joining and reconnecting, and its leaving backend servers are spread to
// all hosts. A list whose revision isn't newer is ignored.
func (a *Agent) UpdateHostList(list infra.Hosts) {
	a.mu.Lock()
	if list.Revision <= a.hostListRevision {
		a.mu.Unlock()
		return
	}
	a.hostListRevision = list.Revision
	a.listedLeaving = map[wire.ReplicaID]bool{}
	a.listedEntryAddrs = nil
	for _, row := range list.Hosts {
		switch row.Role {
		case infra.RoleEntry:
			a.listedEntryAddrs = append(a.listedEntryAddrs, row.Addr)
		case infra.RoleBackend:
			if row.State == infra.HostLeaving {
				a.listedLeaving[wire.ReplicaID(row.Addr)] = true
			}
		}
	}
	changed := a.applyHostList()
	a.publishAndUnlock()
	if changed {
		a.sendToRandomHosts()
	}
}

// applyHostList applies the newest host list to the states of backend servers,
// and reports whether one of them changed.
func (a *Agent) applyHostList() bool {
	changed := false
	for replica := range a.listedLeaving {
		if !a.servers[replica].leaving {
			changed = a.setServer(replica, true, a.hostListRevision) || changed
		}
	}
	for replica, s := range a.servers {
		if s.leaving && !a.listedLeaving[replica] && s.revision < a.hostListRevision {
			changed = a.setServer(replica, false, a.hostListRevision) || changed
		}
	}
	return changed
}

// setServer sets the state of a backend server and queues it for other hosts if
// the revision is newer than the known one. It reports whether it did so.
func (a *Agent) setServer(replica wire.ReplicaID, leaving bool, revision uint64) bool {
	old, known := a.servers[replica]
	if known && old.revision >= revision {
		return false
	}
	a.servers[replica] = serverState{leaving: leaving, revision: revision, changedAt: time.Now()}
	if !a.spreadSuppressed {
		a.events.addServer(&peerpb.ServerEvent{Replica: string(replica), Leaving: leaving, Revision: revision})
	}
	if old.leaving != leaving {
		a.viewOutdated = true
	}
	return true
}

// mergeServer applies a server event. If this process has a newer host list with
// another state of the server, that state is set and spread instead.
func (a *Agent) mergeServer(ev *peerpb.ServerEvent) {
	replica := wire.ReplicaID(ev.Replica)
	if ev.Revision < a.hostListRevision && ev.Leaving != a.listedLeaving[replica] {
		a.setServer(replica, a.listedLeaving[replica], a.hostListRevision)
		return
	}
	a.setServer(replica, ev.Leaving, ev.Revision)
}

// leavingServers returns the set of backend servers that are leaving.
func (a *Agent) leavingServers() map[wire.ReplicaID]bool {
	out := map[wire.ReplicaID]bool{}
	for replica, s := range a.servers {
		if s.leaving {
			out[replica] = true
		}
	}
	return out
}

// expireServers removes servers that stopped leaving more than
// returnedServerRetention ago.
func (a *Agent) expireServers(now time.Time) {
	for replica, s := range a.servers {
		if !s.leaving && now.Sub(s.changedAt) > returnedServerRetention {
			delete(a.servers, replica)
		}
	}
}

// serverEvents returns events with the known states of up to limit servers.
func (a *Agent) serverEvents(limit int) []*peerpb.ServerEvent {
	var out []*peerpb.ServerEvent
	for replica, s := range a.servers {
		if len(out) >= limit {
			break
		}
		out = append(out, &peerpb.ServerEvent{Replica: string(replica), Leaving: s.leaving, Revision: s.revision})
	}
	return out
}
