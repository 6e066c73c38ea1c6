package rollout

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// maxParallelReads bounds the reads of documents from the store at one time.
const maxParallelReads = 8

// watchLoop watches the manifest in the store while this host is a watcher, and
// otherwise checks every WatcherCheckPeriod whether it has become one.
func (a *Agent) watchLoop(ctx context.Context) {
	retry := backoff{agent: a}
	var afterRevision uint64
	for ctx.Err() == nil {
		if !a.opts.IsWatcher() {
			sleep(ctx, a.jitter(a.opts.WatcherCheckPeriod))
			continue
		}
		revision, err := a.watchOnce(ctx, afterRevision)
		if err != nil && ctx.Err() == nil {
			a.opts.Scope.Counter("watch_failed").Inc(1)
			a.log.WithError(err).Warn("watch of the manifest failed")
			retry.wait(ctx)
			continue
		}
		retry.reset()
		afterRevision = revision
	}
}

// watchOnce waits up to WatchTimeout for a revision of the manifest above
// afterRevision and adopts it. It returns the last revision that was handled,
// which is afterRevision if there was no change or an error before adoption.
func (a *Agent) watchOnce(ctx context.Context, afterRevision uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, a.opts.WatchTimeout)
	defer cancel()
	entry, err := a.opts.Store.Watch(watchCtx, ManifestKey, afterRevision)
	if err != nil {
		if watchCtx.Err() != nil {
			return afterRevision, nil // no change within WatchTimeout
		}
		return afterRevision, err
	}
	m, err := decodeManifest(entry.Value, "store")
	if err != nil {
		return afterRevision, err
	}
	if inForce := a.current.Load().version(); m.Version < inForce {
		a.opts.Scope.Counter("store_behind").Inc(1)
		a.log.WithFields(log.Fields{"stored": m.Version, "in_force": inForce}).Warn("store answered with a lower version, ignored")
		return entry.Revision, nil
	}
	docs, err := a.collectDocuments(ctx, m)
	if err != nil {
		return afterRevision, err
	}
	return entry.Revision, a.adopt(m, docs, "store")
}

func decodeManifest(body []byte, source string) (release.Manifest, error) {
	var m release.Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return release.Manifest{}, errors.WithStack(&BadManifestError{Source: source, Err: err})
	}
	return m, nil
}

// collectDocuments returns the manifest's documents by hash. It reads from the
// store those that this host doesn't have.
func (a *Agent) collectDocuments(ctx context.Context, m release.Manifest) (map[string][]byte, error) {
	docs, missingHashes := a.localDocuments(m)
	var (
		mu       sync.Mutex
		group    sync.WaitGroup
		firstErr error
	)
	semaphore := make(chan struct{}, maxParallelReads)
	for _, hash := range missingHashes {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			body, err := a.readDocument(ctx, m, hash)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && firstErr == nil {
				firstErr = err
			}
			docs[hash] = body
		})
	}
	group.Wait()
	if firstErr != nil {
		return nil, firstErr
	}
	return docs, nil
}

// readDocument reads a document of m from the store and verifies its hash.
func (a *Agent) readDocument(ctx context.Context, m release.Manifest, hash string) ([]byte, error) {
	entry, err := a.storeGet(ctx, documentPrefix+hash)
	if err != nil {
		return nil, err
	}
	if entry.Revision == 0 {
		return nil, errors.WithStack(missingDocument(m, hash))
	}
	if release.Hash(entry.Value) != hash {
		return nil, errors.WithStack(&BadDocumentError{Hash: hash})
	}
	return entry.Value, nil
}

// storeGet reads a key of the store within StoreTimeout.
func (a *Agent) storeGet(ctx context.Context, key string) (infra.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.StoreTimeout)
	defer cancel()
	entry, err := a.opts.Store.Get(ctx, key)
	return entry, errors.WithStack(err)
}

// storeCompareAndSwap writes a key of the store within StoreTimeout if the key
// still has the revision.
func (a *Agent) storeCompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, a.opts.StoreTimeout)
	defer cancel()
	_, err := a.opts.Store.CompareAndSwap(ctx, key, revision, value)
	return errors.WithStack(err)
}
