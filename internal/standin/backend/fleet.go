package backend

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Fleet is a set of stand-in replicas in one process.
type Fleet struct {
	servers []*Server // sorted by address
}

// StartFleet starts all replicas, or none if one fails to start. The error is then
// the one of Start with the replica's address.
func StartFleet(options []Options) (*Fleet, error) {
	f := &Fleet{}
	for _, o := range options {
		s, err := Start(o)
		if err != nil {
			f.Close()
			return nil, errors.Wrapf(err, "replica %s", o.Listen)
		}
		f.servers = append(f.servers, s)
	}
	slices.SortFunc(f.servers, func(a, b *Server) int { return strings.Compare(string(a.Addr()), string(b.Addr())) })
	return f, nil
}

// Servers returns the replicas, sorted by address.
func (f *Fleet) Servers() []*Server { return f.servers }

// Close closes every replica.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// OptionsFile is the content of an options file, which is JSON with comments.
type OptionsFile struct {
	Replicas []Options `json:"replicas"`
}

// ParseOptionsFile decodes the content of an options file. Unknown keys are errors;
// the options are not validated.
func ParseOptionsFile(body []byte) ([]Options, error) {
	var form OptionsFile
	if err := decodeStrictly(body, &form); err != nil {
		return nil, err
	}
	return form.Replicas, nil
}

// Selection selects the replicas of a release note to serve, and sets the options
// that the note does not have.
type Selection struct {
	Services    []string // names; empty selects all
	DataCentre  string   // empty selects all
	ServiceTime ServiceTime
	Seed        uint64 // see Options; each replica gets its own seed from it
	RowSpacing  uint64 // see Options
	Oldest      uint64 // see Options
	Newest      uint64 // see Options
}

// ParseNote returns the options of the selected replicas among those of the
// services that a release note, JSON with comments, adds or changes. Unknown keys
// are errors; the options are not validated.
func ParseNote(body []byte, selection Selection) ([]Options, error) {
	var note release.Note
	if err := decodeStrictly(body, &note); err != nil {
		return nil, err
	}
	var out []Options
	for _, service := range slices.Concat(note.Services.Added, note.Services.Changed) {
		if len(selection.Services) > 0 && !slices.Contains(selection.Services, service.Name) {
			continue
		}
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				if selection.DataCentre == "" || replica.DataCentre == selection.DataCentre {
					out = append(out, selection.replicaOptions(&service, &shard, &replica))
				}
			}
		}
	}
	return out, nil
}

// replicaOptions returns the options of one replica of a release note.
func (s Selection) replicaOptions(service *release.Service, shard *release.Shard, replica *release.Replica) Options {
	// The address goes into the seed, so that each replica draws different
	// execution times.
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(replica.Addr))
	return Options{
		Listen:         string(replica.Addr),
		Service:        service.Name,
		Shard:          shard.ID,
		Range:          shard.Range,
		Slots:          service.Slots,
		MaxConnections: service.MaxConnections,
		ConnectCost:    service.ConnectCost,
		ServiceTime:    s.ServiceTime,
		Seed:           s.Seed ^ hash.Sum64(),
		RowSpacing:     s.RowSpacing,
		Oldest:         s.Oldest,
		Newest:         s.Newest,
	}
}

// decodeStrictly decodes JSON with comments into target. Unknown keys are errors.
func decodeStrictly(body []byte, target any) error {
	standard, err := hujson.Standardize(body)
	if err != nil {
		return errors.WithStack(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(standard)))
	decoder.DisallowUnknownFields()
	return errors.WithStack(decoder.Decode(target))
}
