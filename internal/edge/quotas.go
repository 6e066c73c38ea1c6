package edge

import (
	"github.com/arbutusgauge/arbutusgauge/internal/account"
	"github.com/arbutusgauge/arbutusgauge/internal/boottime"
	"github.com/arbutusgauge/arbutusgauge/internal/quota"
)

// newQuotas creates the module that keeps the quotas of accounts.
func (h *Host) newQuotas() error {
	address := h.settings.PeerAddr
	if address == "" {
		address = h.settings.Host // not reachable for other hosts, and so a leader for itself only
	}
	var err error
	h.quotas, err = quota.New(quota.Options{
		Address:   address,
		Clock:     boottime.Now,
		Leaders:   func() []string { return h.permitLeaders.addrs(address) },
		Accounts:  h.accounts,
		Transport: quota.NewHTTPTransport(),
		Bounds:    h.settings.QuotaBounds,
		Scope:     h.scope.SubScope("quota"),
		Logger:    h.log,
	})
	return err
}

// accounts returns the accounts of the routing table in force, nil if there are none.
func (h *Host) accounts() []account.Account {
	view := h.catalog.View()
	if view == nil {
		return nil
	}
	return view.Table.Accounts
}
