package relay

import (
	"encoding/json"
	"net/http"
)

// maxAdminBodyBytes bounds the body of an admin request.
const maxAdminBodyBytes = 1 << 20

// Status is the state of one relay in the answer to GET /v1/relays.
type Status struct {
	Addr        string `json:"addr"`
	Target      string `json:"target"`
	Link        Link   `json:"link"`
	Connections int    `json:"connections"` // open now
}

// AdminHandler returns the HTTP interface that controls the relays. {addr} is the
// address that a relay listens on, or "all". Errors are answered with 400 (body
// or link not valid) or 404 (no relay at the address) and {"error": "..."}.
//
//	GET  /v1/relays                 []Status
//	PUT  /v1/relays/{addr}/link     Link
//	POST /v1/relays/{addr}/silence  open connections pass no more data on
//	POST /v1/relays/{addr}/reset    open connections are reset
func AdminHandler(relays []*Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/relays", func(w http.ResponseWriter, _ *http.Request) {
		out := make([]Status, 0, len(relays))
		for _, r := range relays {
			out = append(out, Status{Addr: r.Addr(), Target: r.Target(), Link: r.Link(), Connections: r.Connections()})
		}
		writeJSON(w, http.StatusOK, out)
	})
	mux.HandleFunc("PUT /v1/relays/{addr}/link", func(w http.ResponseWriter, r *http.Request) {
		var link Link
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&link); err != nil {
			writeJSON(w, http.StatusBadRequest, errorForm{err.Error()})
			return
		}
		applyToSelected(w, r, relays, func(relay *Relay) error { return relay.SetLink(link) })
	})
	mux.HandleFunc("POST /v1/relays/{addr}/silence", func(w http.ResponseWriter, r *http.Request) {
		applyToSelected(w, r, relays, func(relay *Relay) error { relay.SilenceConnections(); return nil })
	})
	mux.HandleFunc("POST /v1/relays/{addr}/reset", func(w http.ResponseWriter, r *http.Request) {
		applyToSelected(w, r, relays, func(relay *Relay) error { relay.ResetConnections(); return nil })
	})
	return mux
}

// errorForm is the body of an error reply.
type errorForm struct {
	Error string `json:"error"`
}

// applyToSelected calls f with every relay that the request's {addr} selects and
// answers with their number, or with the first error.
func applyToSelected(w http.ResponseWriter, r *http.Request, relays []*Relay, f func(*Relay) error) {
	addr, count := r.PathValue("addr"), 0
	for _, relay := range relays {
		if addr != "all" && addr != relay.Addr() {
			continue
		}
		count++
		if err := f(relay); err != nil {
			writeJSON(w, http.StatusBadRequest, errorForm{err.Error()})
			return
		}
	}
	if count == 0 {
		writeJSON(w, http.StatusNotFound, errorForm{"no relay listens on " + addr})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Relays int `json:"relays"`
	}{count})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write only means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
