package backend

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ReplicaForm describes a replica in the answer to GET /v1/replicas.
type ReplicaForm struct {
	Addr        wire.ReplicaID `json:"addr"`
	Service     string         `json:"service"`
	Shard       uint32         `json:"shard"`
	Range       wire.KeyRange  `json:"range"`
	Slots       uint32         `json:"slots"`
	State       string         `json:"state"`
	Oldest      uint64         `json:"oldest"`
	Newest      uint64         `json:"newest"`
	InFlight    uint32         `json:"in_flight"`
	Most        uint32         `json:"most_in_flight"`
	Connections int            `json:"connections"`
	Executions  uint64         `json:"executions"` // ever
}

// ExecutionForm is an execution with its replica.
type ExecutionForm struct {
	Addr wire.ReplicaID `json:"addr"`
	Execution
}

// ExecutionsForm is the answer to a call for executions.
type ExecutionsForm struct {
	Total      uint64          `json:"total"` // ever, on the selected replicas
	Executions []ExecutionForm `json:"executions"`
}

// AdminHandler returns the interface through which tests and demonstrations
// set faults and read what ran. {addr} is a replica's address or "all"; the
// query parameters service and shard narrow "all" down.
//
//	GET  /v1/replicas                        []ReplicaForm
//	PUT  /v1/replicas/{addr}/faults          Faults
//	PUT  /v1/replicas/{addr}/held            {"oldest": 1, "newest": 2}
//	PUT  /v1/replicas/{addr}/drain           {"draining": true}
//	PUT  /v1/replicas/{addr}/cold            {"requests": 100}
//	POST /v1/replicas/{addr}/silence         existing connections stop answering
//	POST /v1/replicas/{addr}/reset           existing connections are reset
//	GET  /v1/replicas/{addr}/executions      ExecutionsForm; after, limit (per
//	                                         replica), not_repeatable=true
func (f *Fleet) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/replicas", f.serveReplicas)
	mux.HandleFunc("GET /v1/replicas/{addr}/executions", f.serveExecutions)
	mux.HandleFunc("PUT /v1/replicas/{addr}/faults", change(f, func(s *Server, faults Faults) error {
		return s.SetFaults(faults)
	}))
	mux.HandleFunc("PUT /v1/replicas/{addr}/held", change(f, func(s *Server, held wire.Held) error {
		s.SetHeld(held)
		return nil
	}))
	mux.HandleFunc("PUT /v1/replicas/{addr}/drain", change(f, func(s *Server, form struct{ Draining bool }) error {
		s.Drain(form.Draining)
		return nil
	}))
	mux.HandleFunc("PUT /v1/replicas/{addr}/cold", change(f, func(s *Server, form struct{ Requests uint32 }) error {
		s.Chill(form.Requests)
		return nil
	}))
	mux.HandleFunc("POST /v1/replicas/{addr}/silence", change(f, func(s *Server, _ struct{}) error {
		s.Silence()
		return nil
	}))
	mux.HandleFunc("POST /v1/replicas/{addr}/reset", change(f, func(s *Server, _ struct{}) error {
		s.ResetConnections()
		return nil
	}))
	return mux
}

// allReplicas selects every replica in a path.
const allReplicas = "all"

// selected returns the replicas that a call names.
func (f *Fleet) selected(r *http.Request) ([]*Server, error) {
	addr := r.PathValue("addr")
	service, shard := r.URL.Query().Get("service"), r.URL.Query().Get("shard")
	var out []*Server
	for _, s := range f.servers {
		switch {
		case addr != allReplicas && addr != string(s.Addr()):
		case service != "" && service != s.options.Service:
		case shard != "" && shard != strconv.FormatUint(uint64(s.options.Shard), 10):
		default:
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return nil, &UnknownReplicaError{Addr: addr}
	}
	return out, nil
}

// change decodes the body, if there is one, and applies it to the selected
// replicas.
func change[T any](f *Fleet, apply func(*Server, T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var form T
		if r.ContentLength != 0 {
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&form); err != nil {
				fail(w, http.StatusBadRequest, errors.WithStack(err))
				return
			}
		}
		servers, err := f.selected(r)
		if err != nil {
			fail(w, http.StatusNotFound, err)
			return
		}
		for _, s := range servers {
			if err := apply(s, form); err != nil {
				fail(w, http.StatusInternalServerError, err)
				return
			}
		}
		writeJSON(w, http.StatusOK, struct {
			Replicas int `json:"replicas"`
		}{len(servers)})
	}
}

const maxAdminBody = 1 << 20 // bytes

func fail(w http.ResponseWriter, code int, err error) {
	writeJSON(w, code, struct {
		Error string `json:"error"`
	}{err.Error()})
}

func (f *Fleet) serveReplicas(w http.ResponseWriter, _ *http.Request) {
	out := make([]ReplicaForm, 0, len(f.servers))
	for _, s := range f.servers {
		s.mu.Lock()
		status, most := s.statusNow(), s.most
		s.mu.Unlock()
		_, total := s.Executions(0, 1)
		out = append(out, ReplicaForm{
			Addr: s.Addr(), Service: s.options.Service, Shard: s.options.Shard, Range: s.options.Range,
			Slots: s.options.Slots, State: status.State, Oldest: status.Oldest, Newest: status.Newest,
			InFlight: status.InFlight, Most: most, Connections: s.Connections(), Executions: total,
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func (f *Fleet) serveExecutions(w http.ResponseWriter, r *http.Request) {
	servers, err := f.selected(r)
	if err != nil {
		fail(w, http.StatusNotFound, err)
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	onlyOnce := query.Get("not_repeatable") == "true"
	out := ExecutionsForm{Executions: []ExecutionForm{}}
	for _, s := range servers {
		list, total := s.Executions(after, limit)
		out.Total += total
		for _, e := range list {
			if !onlyOnce || !e.Repeatable {
				out.Executions = append(out.Executions, ExecutionForm{Addr: s.Addr(), Execution: e})
			}
		}
	}
	writeJSON(w, http.StatusOK, &out)
}
