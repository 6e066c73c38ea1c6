// Package wire holds the types that cross module boundaries on the way of one
// query: sub-requests, their replies, outcomes, ledger ranges and load reports.
package wire
