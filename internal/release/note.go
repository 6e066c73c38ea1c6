package release

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// Defaults of keys that a note may omit; their units are those of the fields in
// Service and Objective.
const (
	defaultOwnershipBlock = 1
	defaultExtraLoad      = 0.03
	defaultExtraBurst     = 200
	defaultObjectiveGood  = 0.99
)

// maxDeadline bounds the deadline of a search, and with it the time that a
// stopping host waits for requests in progress.
const maxDeadline = time.Minute

// ParseNote decodes a release note in JSON with comments; file is its name in
// problems. It fails with *jwcc.Error, which lists syntax errors, unknown keys,
// duplicate keys and wrong types. Check validates the content and states the
// positions of problems in the file.
func ParseNote(file string, body []byte) (*Note, error) {
	n := &Note{}
	positions, err := jwcc.DecodeWithPositions(file, body, n)
	if err != nil {
		return nil, err
	}
	n.keyPositions = positions
	return n, nil
}

// Apply checks the note and returns the configuration that it makes from
// base, with version base+1. A nil base is the empty configuration with
// version 0. The result shares no mutable memory with base or the note. Errors
// are those of Check.
func Apply(base *Config, n *Note) (*Config, error) {
	base = orEmpty(base)
	if err := Check(base, n); err != nil {
		return nil, err
	}
	return clone(merge(base, n)), nil
}

// merge returns the configuration that the note makes, without checks. The result
// shares unchanged services and searches with base, and shards with the note.
func merge(base *Config, n *Note) *Config {
	next := &Config{
		Version:  base.Version + 1,
		Note:     n.ID,
		Services: maps.Clone(base.Services),
		Searches: maps.Clone(base.Searches),
	}
	for _, name := range n.Services.Withdrawn {
		delete(next.Services, name)
	}
	for _, name := range n.Searches.Withdrawn {
		delete(next.Searches, name)
	}
	for _, service := range slices.Concat(n.Services.Added, n.Services.Changed) {
		service = withServiceDefaults(service)
		next.Services[service.Name] = &service
	}
	for _, search := range slices.Concat(n.Searches.Added, n.Searches.Changed) {
		search = withSearchDefaults(search)
		next.Searches[SearchKey(search.Service, search.Name)] = &search
	}
	return next
}

func withServiceDefaults(s Service) Service {
	if s.OwnershipBlock == 0 {
		s.OwnershipBlock = defaultOwnershipBlock
	}
	if s.ExtraLoad == 0 {
		s.ExtraLoad = defaultExtraLoad
	}
	if s.ExtraBurst == 0 {
		s.ExtraBurst = defaultExtraBurst
	}
	return s
}

func withSearchDefaults(s Search) Search {
	if s.Objective.GoodFraction == 0 {
		s.Objective.GoodFraction = defaultObjectiveGood
	}
	if s.Objective.Latency == 0 {
		s.Objective.Latency = s.LatencyGoal
	}
	if s.Objective.LeastCoverage == 0 {
		s.Objective.LeastCoverage = s.LeastCoverage
	}
	return s
}

// orEmpty returns a copy of c whose maps are not nil; a nil c counts as empty.
func orEmpty(c *Config) *Config {
	out := Config{}
	if c != nil {
		out = *c
	}
	if out.Services == nil {
		out.Services = map[string]*Service{}
	}
	if out.Searches == nil {
		out.Searches = map[string]*Search{}
	}
	return &out
}

// clone returns a deep copy of c.
func clone(c *Config) *Config {
	out := &Config{
		Version:  c.Version,
		Note:     c.Note,
		Services: make(map[string]*Service, len(c.Services)),
		Searches: make(map[string]*Search, len(c.Searches)),
	}
	for name, service := range c.Services {
		s := *service
		s.Shards = slices.Clone(s.Shards)
		for i := range s.Shards {
			s.Shards[i].Replicas = slices.Clone(s.Shards[i].Replicas)
		}
		out.Services[name] = &s
	}
	for key, search := range c.Searches {
		s := *search
		out.Searches[key] = &s
	}
	return out
}
