package front

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/burn"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/owner"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/rollout"
)

// RolloutOperator implements Operator with the rollout package.
type RolloutOperator struct{ Agent *rollout.Agent }

// Apply implements Operator. A dry run checks the note against the
// configuration in force on this host.
func (o RolloutOperator) Apply(ctx context.Context, file string, body []byte, dryRun bool) (*ApplyResult, error) {
	note, err := release.ParseNote(file, body)
	if err != nil {
		return nil, convertNoteError(err)
	}
	if dryRun {
		next, err := release.Apply(o.Agent.Current(), note)
		if err != nil {
			return nil, convertNoteError(err)
		}
		return &ApplyResult{Version: next.Version, Note: note.ID}, nil
	}
	done, err := o.Agent.Apply(ctx, note)
	if err != nil {
		return nil, convertNoteError(err)
	}
	return &ApplyResult{Applied: true, Version: done.Version, Note: done.Note, AlreadyApplied: done.AlreadyApplied}, nil
}

// History implements Operator from the manifest in force on this host.
func (o RolloutOperator) History(context.Context) (*History, error) {
	m := o.Agent.Manifest()
	return &History{Version: m.Version, Notes: append([]release.NoteRecord{}, m.Recent...)}, nil
}

// convertNoteError returns an error of release or rollout as *BadNoteError,
// *ConflictError or *StoreError. Any other error is returned as it is; after it
// the note may be in force or not.
func convertNoteError(err error) error {
	var (
		bad      *jwcc.Error
		base     *release.BaseVersionError
		conflict *rollout.ConflictError
		store    *rollout.UnavailableError
	)
	switch {
	case errors.As(err, &bad):
		return errors.WithStack(&BadNoteError{Problems: bad.Problems})
	case errors.As(err, &base):
		return errors.WithStack(&ConflictError{WinningNote: base.WinningNote, Version: base.InForceVersion})
	case errors.As(err, &conflict):
		return errors.WithStack(&ConflictError{WinningNote: conflict.WinningNote, Version: conflict.Version})
	case errors.As(err, &store):
		return errors.WithStack(&StoreError{OutcomeUnknown: store.Outcome != rollout.OutcomeNotApplied, Err: err})
	}
	return err
}

// BurnRecorder implements Burn with the burn package.
type BurnRecorder struct{ Recorder *burn.Recorder }

// Record implements Burn.
func (b BurnRecorder) Record(o Observation) {
	b.Recorder.Record(o.Service, o.Search.Name, burn.Result{
		Outcome: o.Outcome, BelowLeastCoverage: o.Code == CodeBelowCoverage, Latency: o.Latency,
		Coverage: o.Coverage, Objective: o.Search.Objective,
	})
}

// Report implements Burn.
func (b BurnRecorder) Report() any { return b.Recorder.HostReport() }

// OwnerReplicas implements Replicas with the owner package.
type OwnerReplicas struct{ Owner *owner.Owner }

// Replicas implements Replicas. It returns the replicas that this host owns, by
// service, shard and replica.
func (r OwnerReplicas) Replicas(service string) []ReplicaStatus {
	var out []ReplicaStatus
	for _, i := range r.Owner.ReplicaStatus(service) {
		if !i.Owned {
			continue
		}
		out = append(out, ReplicaStatus{
			Replica: i.Replica, Service: i.Service, Shard: i.Shard, State: i.Load.State.String(),
			InFlight: i.Load.InFlight, Queued: i.Load.Queued, Slots: i.Load.Slots,
			Held: HeldSnapshots(i.Held), Connections: uint32(i.Connections),
		})
	}
	slices.SortFunc(out, func(a, b ReplicaStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Replica, b.Replica))
	})
	return out
}
