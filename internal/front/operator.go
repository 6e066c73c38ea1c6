package front

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/member"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	headerNoteFile  = "X-Note-File"
	defaultNoteFile = "note" // file name in problems when the header is missing

	outcomeNotApplied = "not_applied"
)

// operatorErrorBody is the response body of an error of the operators'
// interface.
type operatorErrorBody struct {
	Error       Code           `json:"error"`
	Message     string         `json:"message"`
	Request     string         `json:"request"`
	Outcome     string         `json:"outcome,omitempty"`
	Problems    []jwcc.Problem `json:"problems,omitempty"`
	WinningNote string         `json:"winning_note,omitempty"`
	Version     uint64         `json:"version,omitempty"`
}

// postNote handles POST /v1/operator/notes.
func (s *Server) postNote(c echo.Context) error {
	dryRun := false
	switch c.QueryParam("dry_run") {
	case "", "false":
	case "true":
		dryRun = true
	default:
		return s.writeOperatorError(c, newBodyError("dry_run is %q; allowed are true and false", c.QueryParam("dry_run")))
	}
	note, err := readBody(c, s.opts.NoteLimit)
	if err != nil {
		return s.writeOperatorError(c, err)
	}
	file := c.Request().Header.Get(headerNoteFile)
	if file == "" {
		file = defaultNoteFile
	}
	// A lost connection to the operator must not cancel the call half way: the
	// write to the store may already take effect.
	applied, err := s.opts.Operator.Apply(context.WithoutCancel(c.Request().Context()), file, note, dryRun)
	if err != nil {
		return s.writeOperatorError(c, err)
	}
	return c.JSON(http.StatusOK, applied)
}

// writeOperatorError logs a failed call of an operator and sends its error body.
func (s *Server) writeOperatorError(c echo.Context, err error) error {
	body := operatorErrorBody{Message: err.Error(), Request: requestID(c)}
	status := http.StatusInternalServerError
	var badBody *BodyError
	var badNote *BadNoteError
	var conflict *ConflictError
	var store *StoreError
	switch {
	case errors.As(err, &badBody):
		status, body.Error, body.Outcome = http.StatusBadRequest, CodeBadRequest, outcomeNotApplied
	case errors.As(err, &badNote):
		status, body.Error, body.Problems = http.StatusBadRequest, CodeBadNote, badNote.Problems
	case errors.As(err, &conflict):
		status, body.Error = http.StatusConflict, CodeConflict
		body.WinningNote, body.Version = conflict.WinningNote, conflict.Version
	case errors.As(err, &store):
		status, body.Error, body.Outcome = http.StatusServiceUnavailable, CodeStoreUnavailable, outcomeNotApplied
		if store.OutcomeUnknown {
			body.Outcome = wire.Unknown.String()
		}
	default:
		body.Error, body.Outcome = CodeInternal, wire.Unknown.String()
	}
	s.opts.Log.WithError(err).WithField("request", body.Request).WithField("error_code", body.Error).
		Warn("operator call failed")
	return c.JSON(status, body)
}

// getConfig handles GET /v1/operator/config.
func (s *Server) getConfig(c echo.Context) error {
	cfg := s.opts.Configs.Current()
	if cfg == nil {
		return s.writeResponse(c, notRunResponse(requestID(c), CodeNoConfiguration, "host has no configuration yet"))
	}
	return c.JSON(http.StatusOK, cfg)
}

// getHistory handles GET /v1/operator/history.
func (s *Server) getHistory(c echo.Context) error {
	history, err := s.opts.Operator.History(c.Request().Context())
	if err != nil {
		return s.writeOperatorError(c, err)
	}
	return c.JSON(http.StatusOK, history)
}

// hostsBody is the response body of GET /v1/operator/hosts.
type hostsBody struct {
	Self  string     `json:"self"`
	Hosts []hostBody `json:"hosts"`
}

type hostBody struct {
	Name          string `json:"name"`
	Addr          string `json:"addr"`
	HTTPAddr      string `json:"http_addr"`
	DataCentre    string `json:"data_centre"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
	Incarnation   uint64 `json:"incarnation"`
}

// getHosts handles GET /v1/operator/hosts.
func (s *Server) getHosts(c echo.Context) error {
	view := s.opts.Members.View()
	body := hostsBody{Self: view.Self.Name, Hosts: []hostBody{}}
	for _, h := range view.Hosts {
		body.Hosts = append(body.Hosts, newHostBody(h))
	}
	return c.JSON(http.StatusOK, body)
}

func newHostBody(h member.Host) hostBody {
	return hostBody{
		Name: h.Name, Addr: h.Addr, HTTPAddr: h.HTTPAddr, DataCentre: h.DataCentre,
		State: h.State.String(), ConfigVersion: h.ConfigVersion, Incarnation: h.Incarnation,
	}
}

// getReplicas handles GET /v1/operator/replicas.
func (s *Server) getReplicas(c echo.Context) error {
	replicas := s.opts.Replicas.Replicas(c.QueryParam("service"))
	if replicas == nil {
		replicas = []ReplicaStatus{}
	}
	return c.JSON(http.StatusOK, map[string][]ReplicaStatus{"replicas": replicas})
}

// getBurn handles GET /v1/operator/burn.
func (s *Server) getBurn(c echo.Context) error {
	return c.JSON(http.StatusOK, s.opts.Burn.Report())
}
