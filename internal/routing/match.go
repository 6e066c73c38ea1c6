package routing

import (
	"slices"
	"strings"
)

// BuildIndex builds the index of routes by host name that Match uses, and returns
// t. It must be called once before the first call of Match.
func (t *Table) BuildIndex() *Table {
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := hostName(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route with the longest matching path prefix among those of the
// host, or nil if none matches. hostHeader is the value of a Host header; its port
// and letter case are ignored.
func (t *Table) Match(hostHeader, path string) *Route {
	for _, r := range t.byHost[hostName(hostHeader)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
