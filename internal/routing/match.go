package routing

import (
	"slices"
	"strings"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
)

// BuildIndex builds the indexes that Match and Identify use, and returns t. It must be
// called once before the first call of these.
func (t *Table) BuildIndex() *Table {
	t.byHost = map[string][]*Route{}
	t.accounts = account.NewDirectory(t.Accounts)
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

// Identify returns whom a request on a route is from. ok is false if the request must
// not run: its key is of no account, or it lacks one that the route requires.
func (t *Table) Identify(route *Route, c account.Credential) (from account.Identity, ok bool) {
	if len(t.Accounts) == 0 {
		return account.Identity{}, true
	}
	from = account.Identity{Checked: true, Account: t.accounts.Find(c)}
	return from, from.Account != nil || route.AllowAnonymous && !c.Present
}
