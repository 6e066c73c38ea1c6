package relay

import (
	"encoding/json"
	"net/http"
)

// maxAdminBody bounds a request body.
const maxAdminBody = 1 << 20 // bytes

// Form describes a relay in the answer to GET /v1/relays.
type Form struct {
	Addr        string `json:"addr"`
	Target      string `json:"target"`
	Link        Link   `json:"link"`
	Connections int    `json:"connections"`
}

// AdminHandler returns the interface that controls relays. {addr} is a relay's
// address or "all".
//
//	GET  /v1/relays                 []Form
//	PUT  /v1/relays/{addr}/link     Link
//	POST /v1/relays/{addr}/silence  existing connections pass nothing on
//	POST /v1/relays/{addr}/reset    existing connections are reset
func AdminHandler(relays []*Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/relays", func(w http.ResponseWriter, _ *http.Request) {
		out := make([]Form, 0, len(relays))
		for _, r := range relays {
			out = append(out, Form{Addr: r.Addr(), Target: r.Target(), Link: r.Link(), Connections: r.Connections()})
		}
		answer(w, http.StatusOK, out)
	})
	mux.HandleFunc("PUT /v1/relays/{addr}/link", func(w http.ResponseWriter, r *http.Request) {
		var link Link
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&link); err != nil {
			answer(w, http.StatusBadRequest, errorForm{err.Error()})
			return
		}
		each(w, r, relays, func(relay *Relay) error { return relay.SetLink(link) })
	})
	mux.HandleFunc("POST /v1/relays/{addr}/silence", func(w http.ResponseWriter, r *http.Request) {
		each(w, r, relays, func(relay *Relay) error { relay.Silence(); return nil })
	})
	mux.HandleFunc("POST /v1/relays/{addr}/reset", func(w http.ResponseWriter, r *http.Request) {
		each(w, r, relays, func(relay *Relay) error { relay.Reset(); return nil })
	})
	return mux
}

type errorForm struct {
	Error string `json:"error"`
}

func each(w http.ResponseWriter, r *http.Request, relays []*Relay, f func(*Relay) error) {
	addr, count := r.PathValue("addr"), 0
	for _, relay := range relays {
		if addr != "all" && addr != relay.Addr() {
			continue
		}
		count++
		if err := f(relay); err != nil {
			answer(w, http.StatusBadRequest, errorForm{err.Error()})
			return
		}
	}
	if count == 0 {
		answer(w, http.StatusNotFound, errorForm{"no relay listens on " + addr})
		return
	}
	answer(w, http.StatusOK, struct {
		Relays int `json:"relays"`
	}{count})
}

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(body)
}
