package rollout

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// applyCall is the state of one call of Apply.
type applyCall struct {
	agent  *Agent
	note   *release.Note
	digest string
	// manifestWriteInDoubt is true once a compare-and-swap of the manifest has
	// been sent and its outcome is not known.
	manifestWriteInDoubt bool
	// storedHashes holds the hashes of the documents that this call knows to be
	// in the store.
	storedHashes map[string]bool
}

// Apply checks a release note, stores the configuration that it makes and
// brings it into force. For a note that was applied before, it returns the
// version that the note made, with AlreadyApplied set. Errors of Options.Check
// and Options.ApplyNote are returned unchanged. *ConflictError means that the
// note conflicts with one that was applied, and *UnavailableError that the store
// gave no conclusive answer within ApplyTimeout.
func (a *Agent) Apply(ctx context.Context, note *release.Note) (Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.ApplyTimeout)
	defer cancel()
	body, err := json.Marshal(note)
	if err != nil {
		return Applied{}, errors.WithStack(err)
	}
	c := &applyCall{agent: a, note: note, digest: release.Hash(body), storedHashes: map[string]bool{}}
	retry := backoff{agent: a}
	for {
		applied, err := c.tryOnce(ctx)
		if err == nil {
			a.opts.Scope.Counter("applied").Inc(1)
			a.log.WithFields(log.Fields{"note": applied.Note, "version": applied.Version, "already": applied.AlreadyApplied}).Info("note applied")
			return applied, nil
		}
		if !isRetryable(err) {
			return Applied{}, err
		}
		a.log.WithError(err).WithField("note", note.ID).Warn("store call failed, trying again")
		if !retry.wait(ctx) {
			return Applied{}, errors.WithStack(&UnavailableError{Note: note.ID, Outcome: c.outcomeWhenUnavailable(), Err: err})
		}
	}
}

// isRetryable reports whether Apply reads the store and tries again after err.
func isRetryable(err error) bool {
	var (
		unavailable *infra.UnavailableError
		conflict    *infra.ConflictError
		behind      *StoreBehindError
	)
	return errors.As(err, &unavailable) || errors.As(err, &conflict) || errors.As(err, &behind) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// outcomeWhenUnavailable returns the outcome to report when the store stays
// unavailable.
func (c *applyCall) outcomeWhenUnavailable() Outcome {
	if c.manifestWriteInDoubt {
		return OutcomeUnknown
	}
	return OutcomeNotApplied
}

// tryOnce reads the manifest and commits the note if it has not been applied.
// The read also finds an earlier compare-and-swap whose reply was lost.
func (c *applyCall) tryOnce(ctx context.Context) (Applied, error) {
	a := c.agent
	entry, err := a.storeGet(ctx, ManifestKey)
	if err != nil {
		return Applied{}, err
	}
	var m release.Manifest
	if entry.Revision != 0 {
		if m, err = decodeManifest(entry.Value, "store"); err != nil {
			return Applied{}, err
		}
	}
	if inForce := a.current.Load().version(); m.Version < inForce {
		return Applied{}, errors.WithStack(&StoreBehindError{Stored: m.Version, InForce: inForce})
	}
	if applied, err := c.resolveFromManifest(m); applied != nil || err != nil {
		if err == nil {
			return *applied, nil
		}
		return Applied{}, err
	}
	return c.commit(ctx, entry, m)
}

// resolveFromManifest returns the note's result, or the error that refuses it,
// if the manifest shows that the note was applied or conflicts. Both results
// are nil if the note has yet to be applied.
func (c *applyCall) resolveFromManifest(m release.Manifest) (*Applied, error) {
	winning := m.Note
	recentCoversBase := false // m.Recent holds the note that was applied on top of the base version
	for _, r := range m.Recent {
		if r.ID == c.note.ID && r.Digest == c.digest {
			return &Applied{Note: r.ID, Version: r.Version, AlreadyApplied: !c.manifestWriteInDoubt}, nil
		}
		if r.Version == c.note.Base+1 {
			winning = r.ID
			recentCoversBase = true
		}
	}
	for _, r := range m.Recent {
		if r.ID == c.note.ID {
			return nil, errors.WithStack(&ConflictError{Note: c.note.ID, Base: c.note.Base, WinningNote: r.ID, Version: m.Version})
		}
	}
	if c.note.Base == m.Version {
		return nil, nil
	}
	conflict := &ConflictError{Note: c.note.ID, Base: c.note.Base, WinningNote: winning, Version: m.Version}
	if c.manifestWriteInDoubt && !recentCoversBase {
		return nil, errors.WithStack(&UnavailableError{Note: c.note.ID, Outcome: OutcomeUnknown, Err: conflict})
	}
	c.agent.opts.Scope.Counter("conflicts").Inc(1)
	return nil, errors.WithStack(conflict)
}

// commit stores the new documents first and then the manifest, so that a
// manifest in the store never names a missing document. On success it adopts
// the new version on this host.
func (c *applyCall) commit(ctx context.Context, entry infra.Entry, base release.Manifest) (Applied, error) {
	a := c.agent
	m, docs, err := c.buildNext(ctx, base)
	if err != nil {
		return Applied{}, err
	}
	present := map[string]bool{}
	for _, hash := range base.Hashes() {
		present[hash] = true
	}
	for _, hash := range m.Hashes() {
		if present[hash] || c.storedHashes[hash] {
			continue
		}
		err := a.storeCompareAndSwap(ctx, documentPrefix+hash, 0, docs[hash])
		var exists *infra.ConflictError
		if err != nil && !errors.As(err, &exists) {
			return Applied{}, err
		}
		c.storedHashes[hash] = true
	}
	body, err := json.Marshal(m)
	if err != nil {
		return Applied{}, errors.WithStack(err)
	}
	if err := a.storeCompareAndSwap(ctx, ManifestKey, entry.Revision, body); err != nil {
		var conflict *infra.ConflictError
		if !errors.As(err, &conflict) {
			c.manifestWriteInDoubt = c.manifestWriteInDoubt || isRetryable(err)
		}
		return Applied{}, err
	}
	if err := a.adopt(m, docs, "apply"); err != nil {
		return Applied{}, err
	}
	return Applied{Note: c.note.ID, Version: m.Version}, nil
}

// buildNext checks the note against base and returns the manifest and the
// documents, by hash, of the configuration that it makes.
func (c *applyCall) buildNext(ctx context.Context, base release.Manifest) (release.Manifest, map[string][]byte, error) {
	a := c.agent
	baseDocs, err := a.collectDocuments(ctx, base)
	if err != nil {
		return release.Manifest{}, nil, err
	}
	config, err := release.Assemble(base, baseDocs)
	if err != nil {
		return release.Manifest{}, nil, errors.WithStack(err)
	}
	if err := a.opts.Check(config, c.note); err != nil {
		return release.Manifest{}, nil, err
	}
	newConfig, err := a.opts.ApplyNote(config, c.note)
	if err != nil {
		return release.Manifest{}, nil, err
	}
	next := *newConfig
	next.Version = base.Version + 1
	next.Note = c.note.ID
	return release.Split(&next, base, release.NoteRecord{
		ID: c.note.ID, Version: next.Version, Author: c.note.Author, Summary: summarise(c.note), Digest: c.digest,
	})
}

// summarise describes a note in one line, such as "1 service added, 2 searches
// withdrawn".
func summarise(n *release.Note) string {
	var parts []string
	add := func(count int, one, many, what string) {
		switch {
		case count == 1:
			parts = append(parts, "1 "+one+" "+what)
		case count > 1:
			parts = append(parts, strconv.Itoa(count)+" "+many+" "+what)
		}
	}
	add(len(n.Services.Added), "service", "services", "added")
	add(len(n.Services.Changed), "service", "services", "changed")
	add(len(n.Services.Withdrawn), "service", "services", "withdrawn")
	add(len(n.Searches.Added), "search", "searches", "added")
	add(len(n.Searches.Changed), "search", "searches", "changed")
	add(len(n.Searches.Withdrawn), "search", "searches", "withdrawn")
	return strings.Join(parts, ", ")
}
