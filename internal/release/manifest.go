package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Manifest lists the documents that make up one version of the configuration.
// In the store, it is the only value that changes, by compare-and-swap;
// documents are stored under their content hash and never change.
type Manifest struct {
	Version uint64 `json:"version"`
	Note    string `json:"note"` // id of the note that made the version
	// Recent lists the last applied notes, newest first, at most 64. If the reply
	// to a write of the manifest is lost, the writer finds out here whether its
	// note was applied.
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
	// Digest is the content hash of the note. It distinguishes a note that is
	// presented again from a different note with the same id.
	Digest string `json:"digest,omitempty"`
}

// maxRecentNotes bounds the notes kept in a manifest.
const maxRecentNotes = 64

// MissingDocumentError reports that a document of a manifest is not available.
// Name is the service, or "service/search", that it describes.
type MissingDocumentError struct{ Name, Hash string }

// Error implements error.
func (e *MissingDocumentError) Error() string {
	return "document " + e.Hash + " of " + e.Name + " is missing"
}

// Hash returns the content hash under which a document is stored: the first 16
// bytes of its SHA-256 sum in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// Split returns the manifest of a configuration and its documents by hash. The
// recent notes are record, which describes the new note, and those of the
// previous manifest.
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

// addDocument encodes value and enters it in names and docs under its hash.
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

// Hashes returns the hashes of all documents, sorted and without duplicates.
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

// Assemble builds the configuration of a manifest from its documents, given by
// hash; it is the inverse of Split. It fails with *MissingDocumentError if docs
// lacks one of them. Hashes are not verified.
func Assemble(m Manifest, docs map[string][]byte) (*Config, error) {
	cfg := &Config{
		Version:  m.Version,
		Note:     m.Note,
		Services: map[string]*Service{},
		Searches: map[string]*Search{},
	}
	for name, hash := range m.Services {
		cfg.Services[name] = &Service{}
		if err := decodeDocument(docs, name, hash, cfg.Services[name]); err != nil {
			return nil, err
		}
	}
	for name, hash := range m.Searches {
		cfg.Searches[name] = &Search{}
		if err := decodeDocument(docs, name, hash, cfg.Searches[name]); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

// decodeDocument decodes the document with the hash into the value that into
// points to.
func decodeDocument(docs map[string][]byte, name, hash string, into any) error {
	body, ok := docs[hash]
	if !ok {
		return &MissingDocumentError{Name: name, Hash: hash}
	}
	return errors.Wrap(json.Unmarshal(body, into), name)
}
