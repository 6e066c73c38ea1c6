// Package rollout distributes the configuration to the entry hosts. The agent of
// a host watches the manifest in the platform's store, fetches newer versions
// from other hosts, applies release notes, and never adopts a lower version than
// the one in force.
package rollout

import (
	"context"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	// ManifestKey is the key of the manifest in the store.
	ManifestKey = "config/manifest"
	// documentPrefix is followed by a content hash in the key of a document in
	// the store.
	documentPrefix = "config/document/"
	// watcherHashRole is the role in the rendezvous hash that selects the hosts
	// that watch the store.
	watcherHashRole = "watcher"
)

// Fetcher sends a request for configuration data to the host at addr.
type Fetcher interface {
	FetchConfig(ctx context.Context, addr string, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error)
}

// Applied is the result of a release note that was applied.
type Applied struct {
	Note           string // id of the note
	Version        uint64 // version of the configuration that the note made
	AlreadyApplied bool   // the note was applied before this call
}

// adoptedVersion is one version that this host has adopted. It is immutable.
type adoptedVersion struct {
	config            *release.Config
	manifest          release.Manifest
	documents         map[string][]byte // documents of the manifest by hash
	previousDocuments map[string][]byte // documents of the version before, for hosts that still fetch it
}

// document returns the document with the hash, from this version or the one
// before. A nil receiver has no documents.
func (v *adoptedVersion) document(hash string) ([]byte, bool) {
	if v == nil {
		return nil, false
	}
	if body, ok := v.documents[hash]; ok {
		return body, true
	}
	body, ok := v.previousDocuments[hash]
	return body, ok
}

// version returns 0 for a nil receiver.
func (v *adoptedVersion) version() uint64 {
	if v == nil {
		return 0
	}
	return v.manifest.Version
}
