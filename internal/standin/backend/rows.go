package backend

import (
	"strconv"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

// RowOf returns the row of a ledger in a snapshot. The row depends on these two
// alone, so that a test can compute the expected answer.
func RowOf(ledger, snapshot uint64) wire.Row {
	// The multiplier spreads neighbouring inputs over all bits (splitmix64).
	mixed := (ledger<<20 ^ snapshot) * 0x9e3779b97f4a7c15
	return wire.Row{
		Ledger: ledger,
		Key:    "ledger-" + strconv.FormatUint(ledger, 10),
		Value:  []byte("s" + strconv.FormatUint(snapshot, 10) + "-" + strconv.FormatUint(mixed>>32, 16)),
	}
}

// rowsOf returns the rows of a range: one for each ledger that is a multiple of
// spacing.
func rowsOf(r wire.LedgerRange, snapshot, spacing uint64) []wire.Row {
	first := (r.Lo + spacing - 1) / spacing * spacing
	var rows []wire.Row
	for ledger := first; ledger < r.Hi; ledger += spacing {
		rows = append(rows, RowOf(ledger, snapshot))
	}
	return rows
}
