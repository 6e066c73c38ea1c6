package edge

import (
	"net/http"

	"github.com/arbutusgauge/arbutusgauge/internal/quarantine"
)

// peerRecords is the registry of suspected requests for the catalog, which passes it the
// records in the states of peers.
type peerRecords struct{ *quarantine.Registry }

// Learn implements catalog.Quarantine.
func (p peerRecords) Learn(records []quarantine.Known) error { return p.LearnState(records) }

// hasState reports whether this host has a table and servers to serve callers with.
func (h *Host) hasState() bool {
	view := h.catalog.View()
	return view != nil && hasServers(view)
}

// serveState serves the state of this host to a peer, with status 503 until it knows the
// verdicts of before its start: a peer that starts takes the state for complete.
func (h *Host) serveState(w http.ResponseWriter, r *http.Request) {
	if !h.quarantine.Started() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.catalog.ServeState(w, r)
}
