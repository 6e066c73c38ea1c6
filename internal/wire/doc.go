// Package wire defines the types that the packages on the path of a query
// share: sub-requests, their replies, outcomes, ledger ranges and load reports.
package wire
