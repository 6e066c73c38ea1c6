package backend

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// ReplicaForm is the state of a replica in the answer to GET /v1/replicas. State,
// Oldest and Newest are not changed by the faults StatusLie and StatusLag.
type ReplicaForm struct {
	Addr         wire.ReplicaID   `json:"addr"`
	Service      string           `json:"service"`
	Shard        uint32           `json:"shard"`
	Range        wire.LedgerRange `json:"range"`
	Slots        uint32           `json:"slots"`
	State        string           `json:"state"`
	Oldest       uint64           `json:"oldest"`
	Newest       uint64           `json:"newest"`
	InFlight     uint32           `json:"in_flight"`
	PeakInFlight uint32           `json:"most_in_flight"` // since the start
	Connections  int              `json:"connections"`    // open now
	Executions   uint64           `json:"executions"`     // since the start
}

// ExecutionForm is an execution with the address of its replica.
type ExecutionForm struct {
	Addr wire.ReplicaID `json:"addr"`
	Execution
}

// ExecutionsForm is the answer to a call for executions.
type ExecutionsForm struct {
	Total      uint64          `json:"total"` // executions since the start, on the selected replicas
	Executions []ExecutionForm `json:"executions"`
}

// AdminHandler returns the HTTP interface through which tests and demonstrations
// set faults and read the recorded executions. {addr} is a replica's address or
// "all"; the query parameters service and shard narrow the selection down. Errors
// are answered with 400 (body not valid), 404 (no replica selected) or 500 (listening
// socket not closed or opened) and {"error": "..."}.
//
//	GET  /v1/replicas                        []ReplicaForm
//	PUT  /v1/replicas/{addr}/faults          Faults
//	PUT  /v1/replicas/{addr}/held            {"oldest": 1, "newest": 2}
//	PUT  /v1/replicas/{addr}/drain           {"draining": true}
//	PUT  /v1/replicas/{addr}/cold            {"requests": 100}
//	POST /v1/replicas/{addr}/silence         open connections accept data and never answer
//	POST /v1/replicas/{addr}/reset           open connections are reset
//	GET  /v1/replicas/{addr}/executions      ExecutionsForm; after (a number),
//	                                         limit (per replica) and then
//	                                         not_repeatable=true restrict the list
func (f *Fleet) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/replicas", f.serveReplicas)
	mux.HandleFunc("GET /v1/replicas/{addr}/executions", f.serveExecutions)
	mux.HandleFunc("PUT /v1/replicas/{addr}/faults", changeHandler(f, func(s *Server, faults Faults) error {
		return s.SetFaults(faults)
	}))
	mux.HandleFunc("PUT /v1/replicas/{addr}/held", changeHandler(f, func(s *Server, held wire.SnapshotRange) error {
		s.SetHeld(held)
		return nil
	}))
	mux.HandleFunc("PUT /v1/replicas/{addr}/drain", changeHandler(f, func(s *Server, form struct{ Draining bool }) error {
		s.SetDraining(form.Draining)
		return nil
	}))
	mux.HandleFunc("PUT /v1/replicas/{addr}/cold", changeHandler(f, func(s *Server, form struct{ Requests uint32 }) error {
		s.SetColdRequests(form.Requests)
		return nil
	}))
	mux.HandleFunc("POST /v1/replicas/{addr}/silence", changeHandler(f, func(s *Server, _ struct{}) error {
		s.SilenceConnections()
		return nil
	}))
	mux.HandleFunc("POST /v1/replicas/{addr}/reset", changeHandler(f, func(s *Server, _ struct{}) error {
		s.ResetConnections()
		return nil
	}))
	return mux
}

// allReplicas is the {addr} that selects every replica.
const allReplicas = "all"

// selectReplicas returns the replicas that a call selects, at least one. The error
// is *UnknownReplicaError.
func (f *Fleet) selectReplicas(r *http.Request) ([]*Server, error) {
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

// changeHandler decodes the body, if there is one, applies it to each selected
// replica and answers with their number.
func changeHandler[T any](f *Fleet, apply func(*Server, T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var form T
		if r.ContentLength != 0 {
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&form); err != nil {
				writeError(w, http.StatusBadRequest, errors.WithStack(err))
				return
			}
		}
		servers, err := f.selectReplicas(r)
		if err != nil {
			writeError(w, http.StatusNotFound, err)
			return
		}
		for _, s := range servers {
			if err := apply(s, form); err != nil {
				writeError(w, http.StatusInternalServerError, err)
				return
			}
		}
		writeJSON(w, http.StatusOK, struct {
			Replicas int `json:"replicas"`
		}{len(servers)})
	}
}

// maxAdminBodyBytes bounds the body of an admin request.
const maxAdminBodyBytes = 1 << 20

func writeError(w http.ResponseWriter, code int, err error) {
	writeJSON(w, code, struct {
		Error string `json:"error"`
	}{err.Error()})
}

func (f *Fleet) serveReplicas(w http.ResponseWriter, _ *http.Request) {
	out := make([]ReplicaForm, 0, len(f.servers))
	for _, s := range f.servers {
		s.mu.Lock()
		status, highest := s.currentStatus(), s.maxInFlight
		s.mu.Unlock()
		_, total := s.Executions(0, 1)
		out = append(out, ReplicaForm{
			Addr: s.Addr(), Service: s.options.Service, Shard: s.options.Shard, Range: s.options.Range,
			Slots: s.options.Slots, State: status.State, Oldest: status.Oldest, Newest: status.Newest,
			InFlight: status.InFlight, PeakInFlight: highest, Connections: s.Connections(), Executions: total,
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func (f *Fleet) serveExecutions(w http.ResponseWriter, r *http.Request) {
	servers, err := f.selectReplicas(r)
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	query := r.URL.Query()
	// A value that is not a number counts as 0, which does not restrict the list.
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	onlyNotRepeatable := query.Get("not_repeatable") == "true"
	out := ExecutionsForm{Executions: []ExecutionForm{}}
	for _, s := range servers {
		executions, total := s.Executions(after, limit)
		out.Total += total
		for _, e := range executions {
			if !onlyNotRepeatable || !e.Repeatable {
				out.Executions = append(out.Executions, ExecutionForm{Addr: s.Addr(), Execution: e})
			}
		}
	}
	writeJSON(w, http.StatusOK, &out)
}
