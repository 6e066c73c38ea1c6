package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/rollout"
)

// notes applies release notes for operators.
type notes struct{ rollout *rollout.Agent }

// Apply implements front.Operator.
func (n notes) Apply(ctx context.Context, file string, body []byte, dryRun bool) (*front.Applied, error) {
	note, err := release.ParseNote(file, body)
	if err != nil {
		return nil, operatorError(err)
	}
	if dryRun {
		return n.check(note)
	}
	applied, err := n.rollout.Apply(ctx, note)
	if err != nil {
		return nil, operatorError(err)
	}
	return &front.Applied{Applied: true, Version: applied.Version, Note: note.ID, Already: applied.Already}, nil
}

func (n notes) check(note *release.Note) (*front.Applied, error) {
	base := n.rollout.Current()
	if err := release.Check(base, note); err != nil {
		return nil, operatorError(err)
	}
	var version uint64
	if base != nil {
		version = base.Version
	}
	return &front.Applied{Version: version + 1, Note: note.ID}, nil
}

// History implements front.Operator. It is that of the configuration in force
// on this host, so that it is there while the store is down.
func (n notes) History(context.Context) (*front.History, error) {
	manifest := n.rollout.Manifest()
	return &front.History{Version: manifest.Version, Notes: manifest.Recent}, nil
}

// operatorError turns the errors of rollout and release into those of front.
func operatorError(err error) error {
	var problems *jwcc.Error
	if errors.As(err, &problems) {
		return badNote(problems)
	}
	var base *release.BaseError
	if errors.As(err, &base) {
		return &front.ConflictError{WinningNote: base.WinningNote, Version: base.InForce}
	}
	var conflict *rollout.ConflictError
	if errors.As(err, &conflict) {
		return &front.ConflictError{WinningNote: conflict.Winning, Version: conflict.Version}
	}
	var unavailable *rollout.UnavailableError
	if errors.As(err, &unavailable) {
		return &front.StoreError{Unknown: unavailable.Outcome == rollout.OutcomeUnknown, Err: err}
	}
	return err
}

func badNote(e *jwcc.Error) error {
	out := &front.BadNoteError{}
	for _, p := range e.Problems {
		out.Problems = append(out.Problems, front.Problem{File: p.File, Line: p.Line, Key: p.Key, Message: p.Message})
	}
	return out
}
