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

// Fleet is a set of replicas in one process.
type Fleet struct {
	servers []*Server // sorted by address
}

// StartFleet starts all replicas, or none.
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

// FileForm is the form of an options file, JSON with comments.
type FileForm struct {
	Replicas []Options `json:"replicas"`
}

// ParseFile reads the options of replicas. Unknown keys are errors.
func ParseFile(body []byte) ([]Options, error) {
	var form FileForm
	if err := decodeStrictly(body, &form); err != nil {
		return nil, err
	}
	return form.Replicas, nil
}

// Selection says which replicas of a release note to serve, and how.
type Selection struct {
	Services   []string // empty means all
	DataCentre string   // empty means all
	Time       ServiceTime
	Seed       uint64
	RowEvery   uint64 // see Options
	Oldest     uint64 // snapshots held at the start
	Newest     uint64
}

// ParseNote returns the options of the replicas that a release note adds or
// changes and the selection picks.
func ParseNote(body []byte, pick Selection) ([]Options, error) {
	var note release.Note
	if err := decodeStrictly(body, &note); err != nil {
		return nil, err
	}
	var out []Options
	for _, service := range slices.Concat(note.Services.Added, note.Services.Changed) {
		if len(pick.Services) > 0 && !slices.Contains(pick.Services, service.Name) {
			continue
		}
		for _, shard := range service.Shards {
			for _, replica := range shard.Replicas {
				if pick.DataCentre == "" || replica.DataCentre == pick.DataCentre {
					out = append(out, pick.options(&service, &shard, &replica))
				}
			}
		}
	}
	return out, nil
}

func (p Selection) options(service *release.Service, shard *release.Shard, replica *release.Replica) Options {
	// Every replica draws its own service times from the one seed.
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(replica.Addr))
	return Options{
		Listen:      string(replica.Addr),
		Service:     service.Name,
		Shard:       shard.ID,
		Range:       shard.Range,
		Slots:       service.Slots,
		Connections: service.Connections,
		ConnectCost: service.ConnectCost,
		Time:        p.Time,
		Seed:        p.Seed ^ hash.Sum64(),
		RowEvery:    p.RowEvery,
		Oldest:      p.Oldest,
		Newest:      p.Newest,
	}
}

func decodeStrictly(body []byte, into any) error {
	standard, err := hujson.Standardize(body)
	if err != nil {
		return errors.WithStack(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(standard)))
	decoder.DisallowUnknownFields()
	return errors.WithStack(decoder.Decode(into))
}
