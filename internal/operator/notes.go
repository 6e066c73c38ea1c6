package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// readNote reads a note and checks its form, before any host is asked.
func readNote(file string) (*release.Note, []byte, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &FileError{File: file, Err: cause(err)}
	}
	n, err := release.ParseNote(file, body)
	if err != nil {
		return nil, nil, err
	}
	return n, body, nil
}

func postNote(file string, body []byte, dryRun bool) call {
	query := url.Values{"dry_run": {strconv.FormatBool(dryRun)}}
	return call{
		method: http.MethodPost, path: "/v1/operator/notes?" + query.Encode(), body: body,
		header: map[string]string{"Content-Type": "application/json", "X-Note-File": filepath.Base(file)},
	}
}

// sendNote sends a note to the hosts in turn. That is safe, because a note
// takes effect once, whichever host and however often it is sent to.
func (s *session) sendNote(ctx context.Context, file string, body []byte, id string, dryRun bool) (noteReply, error) {
	var reply noteReply
	err := s.client.any(ctx, postNote(file, body, dryRun), &reply)
	var answer *AnswerError
	if err == nil || !errors.As(err, &answer) {
		return reply, err
	}
	switch answer.Reply.Error {
	case "bad_note":
		for i := range answer.Reply.Problems {
			answer.Reply.Problems[i].File = file
		}
		return reply, &jwcc.Error{Problems: answer.Reply.Problems}
	case "conflict":
		if answer.Reply.WinningNote == id {
			return noteReply{Applied: true, Version: answer.Reply.Version, Note: id, Already: true}, nil
		}
		return reply, &ConflictError{Note: id, WinningNote: answer.Reply.WinningNote, Version: answer.Reply.Version}
	}
	return reply, err
}

type checkView struct {
	Note    string `json:"note"`
	Valid   bool   `json:"valid"`
	Against string `json:"against"` // what the note was checked against
	// AppliedAs is the version of a note that took effect before; otherwise 0.
	AppliedAs uint64 `json:"applied_as,omitempty"`
}

func (v checkView) writeText(w io.Writer) error {
	if v.AppliedAs != 0 {
		_, err := fmt.Fprintf(w, "note %s had been applied as version %d\n", v.Note, v.AppliedAs)
		return err
	}
	_, err := fmt.Fprintf(w, "note %s is valid, checked against %s\n", v.Note, v.Against)
	return err
}

func (s *session) check(ctx context.Context, file string) error {
	n, body, err := readNote(file)
	if err != nil {
		return err
	}
	against := "the form of a note only"
	switch {
	case len(s.client.hosts) > 0:
		reply, err := s.sendNote(ctx, file, body, n.ID, true)
		if err != nil {
			return err
		}
		against = fmt.Sprintf("version %d in force", n.Base)
		if reply.Already {
			return s.show(checkView{Note: n.ID, Valid: true, Against: against, AppliedAs: reply.Version})
		}
	case n.Base == 0:
		if err := release.Check(nil, n); err != nil {
			return err
		}
		against = "an empty configuration"
	default:
		s.warn("no host is given, so the note is not compared with the configuration in force")
	}
	return s.show(checkView{Note: n.ID, Valid: true, Against: against})
}

type diffView struct {
	Note    string           `json:"note"`
	Base    uint64           `json:"base"`
	Changes []release.Change `json:"changes"`
}

func (v diffView) writeText(w io.Writer) error {
	for _, change := range v.Changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "note %s makes %d changes to version %d\n", v.Note, len(v.Changes), v.Base)
	return err
}

// config returns the configuration in force. A host that has none yet counts
// as the empty configuration, version 0, only for a note with that base.
func (s *session) config(ctx context.Context) (*release.Config, error) {
	var cfg release.Config
	if err := s.client.any(ctx, get("/v1/operator/config"), &cfg); err != nil {
		return nil, err
	}
	return &cfg, nil
}

func (s *session) diff(ctx context.Context, file string) error {
	n, _, err := readNote(file)
	if err != nil {
		return err
	}
	base, err := s.config(ctx)
	var answer *AnswerError
	if errors.As(err, &answer) && answer.Reply.Error == "no_configuration" && n.Base == 0 {
		base, err = &release.Config{}, nil
	}
	if err != nil {
		return err
	}
	next, err := release.Apply(base, n)
	if err != nil {
		return err
	}
	changes := release.Diff(base, next)
	if changes == nil {
		changes = []release.Change{}
	}
	return s.show(diffView{Note: n.ID, Base: base.Version, Changes: changes})
}

type applyView struct {
	noteReply
	InForceOn []string `json:"in_force_on"`
	Waited    string   `json:"waited"`
}

func (v applyView) writeText(w io.Writer) error {
	verb := "was applied"
	if v.Already {
		verb = "had been applied"
	}
	_, err := fmt.Fprintf(w, "note %s %s as version %d; in force on %d hosts after %s\n", v.Note, verb, v.Version, len(v.InForceOn), v.Waited)
	return err
}

func (s *session) apply(ctx context.Context, file string, timeout time.Duration) error {
	n, body, err := readNote(file)
	if err != nil {
		return err
	}
	reply, err := s.sendNote(ctx, file, body, n.ID, false)
	if exitCode(err) == ExitUnknown {
		return &UnknownNoteError{Note: n.ID, Err: err}
	}
	if err != nil {
		return err
	}
	start := time.Now()
	hosts, err := s.waitFor(ctx, reply.Version, timeout)
	if err != nil {
		return err
	}
	return s.show(applyView{noteReply: reply, InForceOn: names(hosts), Waited: time.Since(start).Round(time.Millisecond).String()})
}

func (v historyReply) writeText(w io.Writer) error {
	rows := make([][]string, 0, len(v.Notes))
	for _, n := range v.Notes {
		rows = append(rows, []string{strconv.FormatUint(n.Version, 10), n.ID, n.Author, n.Summary})
	}
	return writeTable(w, []string{"VERSION", "NOTE", "AUTHOR", "SUMMARY"}, rows)
}

func (s *session) history(ctx context.Context) error {
	var reply historyReply
	if err := s.client.any(ctx, get("/v1/operator/history"), &reply); err != nil {
		return err
	}
	return s.show(reply)
}
