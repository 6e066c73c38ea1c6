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

// readNote reads a release note and checks its form without asking a host. It
// returns the note and the content of the file. Errors: *FileError, or
// *jwcc.Error with the problems of the note.
func readNote(file string) (*release.Note, []byte, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &FileError{File: file, Err: innerError(err)}
	}
	n, err := release.ParseNote(file, body)
	if err != nil {
		return nil, nil, err
	}
	return n, body, nil
}

func noteCall(file string, body []byte, dryRun bool) apiCall {
	query := url.Values{"dry_run": {strconv.FormatBool(dryRun)}}
	return apiCall{
		method: http.MethodPost, path: "/v1/operator/notes?" + query.Encode(), body: body,
		header: map[string]string{"Content-Type": "application/json", "X-Note-File": filepath.Base(file)},
	}
}

// sendNote sends a note to the hosts in turn. That is safe, because a note takes
// effect only once, even when it is sent to several hosts. Errors: *jwcc.Error
// with the problems that a host found, *ConflictError, or those of
// hostClient.any.
func (s *session) sendNote(ctx context.Context, file string, body []byte, id string, dryRun bool) (noteReply, error) {
	var reply noteReply
	err := s.client.any(ctx, noteCall(file, body, dryRun), &reply)
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
			return noteReply{Applied: true, Version: answer.Reply.Version, Note: id, AlreadyApplied: true}, nil
		}
		return reply, &ConflictError{Note: id, WinningNote: answer.Reply.WinningNote, Version: answer.Reply.Version}
	}
	return reply, err
}

// checkView is the result of the check command.
type checkView struct {
	Note    string `json:"note"`
	Valid   bool   `json:"valid"`
	Against string `json:"against"` // what the note was checked against
	// AppliedAs is the version of a note that has already taken effect, else 0.
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

// check checks a note against the configuration in force if a host is given.
// Without a host it checks a note with base 0 against an empty configuration, and
// of any other note only the form.
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
		if reply.AlreadyApplied {
			return s.printResult(checkView{Note: n.ID, Valid: true, Against: against, AppliedAs: reply.Version})
		}
	case n.Base == 0:
		if err := release.Check(nil, n); err != nil {
			return err
		}
		against = "an empty configuration"
	default:
		s.warn("no host is given, so the note is not compared with the configuration in force")
	}
	return s.printResult(checkView{Note: n.ID, Valid: true, Against: against})
}

// diffView is the result of the diff command.
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

// fetchConfig returns the configuration in force. *AnswerError has the code
// no_configuration if the host has none yet.
func (s *session) fetchConfig(ctx context.Context) (*release.Config, error) {
	var cfg release.Config
	if err := s.client.any(ctx, getCall("/v1/operator/config"), &cfg); err != nil {
		return nil, err
	}
	return &cfg, nil
}

func (s *session) diff(ctx context.Context, file string) error {
	n, _, err := readNote(file)
	if err != nil {
		return err
	}
	base, err := s.fetchConfig(ctx)
	var answer *AnswerError
	// A note with base 0 is compared with the empty configuration, version 0, if
	// none is in force yet.
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
	return s.printResult(diffView{Note: n.ID, Base: base.Version, Changes: changes})
}

// applyView is the result of the apply command.
type applyView struct {
	noteReply
	InForceOn []string `json:"in_force_on"`
	Waited    string   `json:"waited"`
}

func (v applyView) writeText(w io.Writer) error {
	verb := "was applied"
	if v.AlreadyApplied {
		verb = "had been applied"
	}
	_, err := fmt.Fprintf(w, "note %s %s as version %d; in force on %d hosts after %s\n", v.Note, verb, v.Version, len(v.InForceOn), v.Waited)
	return err
}

// apply applies a note and waits at most timeout until its version is in force on
// every serving host.
func (s *session) apply(ctx context.Context, file string, timeout time.Duration) error {
	n, body, err := readNote(file)
	if err != nil {
		return err
	}
	reply, err := s.sendNote(ctx, file, body, n.ID, false)
	if exitCode(err) == ExitUnknownOutcome {
		return &UnknownNoteOutcomeError{Note: n.ID, Err: err}
	}
	if err != nil {
		return err
	}
	start := time.Now()
	hosts, err := s.waitForVersion(ctx, reply.Version, timeout)
	if err != nil {
		return err
	}
	return s.printResult(applyView{noteReply: reply, InForceOn: hostNames(hosts), Waited: time.Since(start).Round(time.Millisecond).String()})
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
	if err := s.client.any(ctx, getCall("/v1/operator/history"), &reply); err != nil {
		return err
	}
	return s.printResult(reply)
}
