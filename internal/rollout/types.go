// Package rollout brings a configuration into force. It watches the manifest
// in the platform's store, fetches newer versions from other hosts, applies
// release notes, and never goes back to a lower version.
package rollout

import (
	"context"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	// ManifestKey is the store's key of the manifest.
	ManifestKey = "config/manifest"
	// documentPrefix and a content hash make the store's key of a document.
	documentPrefix = "config/document/"
	// watcherRole is the rendezvous role of the hosts that watch the store.
	watcherRole = "watcher"
)

// Fetcher asks the host at addr for its configuration.
type Fetcher interface {
	FetchConfig(ctx context.Context, addr string, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error)
}

// Applied says what became of a release note.
type Applied struct {
	Note    string
	Version uint64 // version of the configuration that the note made
	Already bool   // the note was in force before the call
}

// snapshot is one adopted version. It is immutable.
type snapshot struct {
	config   *release.Config
	manifest release.Manifest
	docs     map[string][]byte // documents of the manifest by hash
	older    map[string][]byte // documents of the version before, for hosts that still fetch it
}

// document returns a document by its hash.
func (s *snapshot) document(hash string) ([]byte, bool) {
	if s == nil {
		return nil, false
	}
	if body, ok := s.docs[hash]; ok {
		return body, true
	}
	body, ok := s.older[hash]
	return body, ok
}

func (s *snapshot) version() uint64 {
	if s == nil {
		return 0
	}
	return s.manifest.Version
}
