package quota

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
)

// Transport carries reports to other hosts.
type Transport interface {
	// Ask returns what Registry.Answer of the peer at an address, "ip:port", returns for
	// the report.
	Ask(ctx context.Context, peer string, report []byte) ([]byte, error)
	// IsGone reports whether the machine at an address says that no process listens there.
	// A machine that does not answer gives false.
	IsGone(ctx context.Context, peer string) bool
}

// Options configure a Registry. All but Scope and Logger are required.
type Options struct {
	// Address is this host's address for peers, "ip:port".
	Address string
	// Clock returns a monotonic time that goes on while the host is suspended.
	Clock func() time.Duration
	// Leaders returns the addresses of the leaders of all data centres.
	Leaders func() []string
	// Accounts returns the accounts of the routing table in force, which must not be
	// changed; nil while none is known.
	Accounts  func() []account.Account
	Transport Transport
	Bounds    Bounds        // default: DefaultBounds
	Scope     tally.Scope   // default: no metrics
	Logger    log.Interface // default: no log
}

// Validate fills in defaults and returns *OptionError for a missing option.
func (o *Options) Validate() error {
	switch {
	case o.Address == "":
		return &OptionError{Option: "Address"}
	case o.Clock == nil:
		return &OptionError{Option: "Clock"}
	case o.Leaders == nil:
		return &OptionError{Option: "Leaders"}
	case o.Accounts == nil:
		return &OptionError{Option: "Accounts"}
	case o.Transport == nil:
		return &OptionError{Option: "Transport"}
	}
	if o.Bounds == (Bounds{}) {
		o.Bounds = DefaultBounds
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.Default}
	}
	return nil
}

const (
	// namedAccounts is the number of accounts with metrics of their own: those with the
	// greatest quotas.
	namedAccounts = 8
	// otherAccounts is the tag of the metrics of all other accounts together.
	otherAccounts = "other"
)

// metrics holds the metrics of a registry.
type metrics struct {
	grantorsLost                         tally.Gauge
	reports, reportsFailed, reportsTaken tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		grantorsLost:  scope.Gauge("grantors_lost"),
		reports:       scope.Counter("reports"),
		reportsFailed: scope.Counter("reports_failed"),
		reportsTaken:  scope.Counter("reports_taken"),
	}
}

// accountMetrics counts the requests of one account, or of all that are not named.
type accountMetrics struct{ admitted, refused, waited, share tally.Counter }

func newAccountMetrics(scope tally.Scope, name string) *accountMetrics {
	tagged := scope.Tagged(map[string]string{"account": name})
	return &accountMetrics{
		admitted: tagged.Counter("admitted"),
		refused:  tagged.Counter("refused"),
		waited:   tagged.Counter("waited"),
		share:    tagged.Counter("admitted_by_share"),
	}
}

// directory finds accounts of a routing table by name. It is immutable.
type directory struct {
	accounts []account.Account
	byName   map[string]*account.Account
	named    map[string]bool // accounts with metrics of their own
	limited  bool            // an account has a quota
}

func newDirectory(accounts []account.Account) *directory {
	d := &directory{accounts: accounts, byName: map[string]*account.Account{}, named: map[string]bool{}}
	var limited []*account.Account
	for i := range accounts {
		d.byName[accounts[i].Name] = &accounts[i]
		if accounts[i].Limited() {
			limited = append(limited, &accounts[i])
		}
	}
	d.limited = len(limited) > 0
	slices.SortStableFunc(limited, func(a, b *account.Account) int {
		switch {
		case a.RatePerSecond > b.RatePerSecond:
			return -1
		case a.RatePerSecond < b.RatePerSecond:
			return 1
		}
		return 0
	})
	for _, a := range limited[:min(namedAccounts, len(limited))] {
		d.named[a.Name] = true
	}
	return d
}

// isOf reports whether the directory is that of the accounts.
func (d *directory) isOf(accounts []account.Account) bool {
	if d == nil || len(d.accounts) != len(accounts) {
		return false
	}
	return len(accounts) == 0 || &d.accounts[0] == &accounts[0]
}
