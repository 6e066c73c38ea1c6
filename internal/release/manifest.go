package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Manifest names the documents that make up one version of the configuration.
// It is the one value that changes by compare-and-swap; documents are stored
// under their content hash and never change.
type Manifest struct {
	Version uint64 `json:"version"`
	Note    string `json:"note"`
	// Recent lists the last notes, newest first, so that the writer of a note
	// whose reply was lost finds out whether it took effect.
	Recent   []NoteRecord      `json:"recent"`
	Services map[string]string `json:"services"` // service name to document hash
	Searches map[string]string `json:"searches"` // "service/search" to document hash
}

// NoteRecord is one applied note in a manifest.
type NoteRecord struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
	// Digest is the content hash of the note, which tells a note that is
	// presented again from another one with the same id.
	Digest string `json:"digest,omitempty"`
}

// maxRecentNotes bounds the notes kept in a manifest.
const maxRecentNotes = 64

// MissingDocumentError reports a document that a manifest names and that was
// not at hand.
type MissingDocumentError struct{ Name, Hash string }

// Error implements error.
func (e *MissingDocumentError) Error() string {
	return "document " + e.Hash + " of " + e.Name + " is missing"
}

// Hash returns the content hash under which a document is stored.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// Split turns a configuration into its manifest and documents by hash. The
// previous manifest supplies the recent notes; record describes the new one.
func Split(cfg *Config, previous Manifest, record NoteRecord) (Manifest, map[string][]byte, error) {
	docs := map[string][]byte{}
	m := Manifest{
		Version:  cfg.Version,
		Note:     cfg.Note,
		Services: map[string]string{},
		Searches: map[string]string{},
	}
	m.Recent = append([]NoteRecord{record}, previous.Recent...)
	m.Recent = m.Recent[:min(len(m.Recent), maxRecentNotes)]
	for name, service := range cfg.Services {
		if err := addDocument(m.Services, docs, name, service); err != nil {
			return Manifest{}, nil, err
		}
	}
	for name, search := range cfg.Searches {
		if err := addDocument(m.Searches, docs, name, search); err != nil {
			return Manifest{}, nil, err
		}
	}
	return m, docs, nil
}

func addDocument(names map[string]string, docs map[string][]byte, name string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	hash := Hash(body)
	names[name] = hash
	docs[hash] = body
	return nil
}

// Hashes returns the hashes of all documents, sorted.
func (m Manifest) Hashes() []string {
	var out []string
	for _, hash := range m.Services {
		out = append(out, hash)
	}
	for _, hash := range m.Searches {
		out = append(out, hash)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Assemble builds the configuration of a manifest from its documents.
// *MissingDocumentError names the first document that docs lacks.
func Assemble(m Manifest, docs map[string][]byte) (*Config, error) {
	cfg := &Config{
		Version:  m.Version,
		Note:     m.Note,
		Services: map[string]*Service{},
		Searches: map[string]*Search{},
	}
	for name, hash := range m.Services {
		cfg.Services[name] = &Service{}
		if err := readDocument(docs, name, hash, cfg.Services[name]); err != nil {
			return nil, err
		}
	}
	for name, hash := range m.Searches {
		cfg.Searches[name] = &Search{}
		if err := readDocument(docs, name, hash, cfg.Searches[name]); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

func readDocument(docs map[string][]byte, name, hash string, into any) error {
	body, ok := docs[hash]
	if !ok {
		return &MissingDocumentError{Name: name, Hash: hash}
	}
	return errors.Wrap(json.Unmarshal(body, into), name)
}
