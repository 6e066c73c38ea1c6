package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	headerFormat = "%-6s %-16s %4s %-18s %-15s %7s %7s %7s %8s %6s %6s %6s %7s %6s\n"
	rowFormat    = "%-6s %-16s %4.0f %-18s %-15s %7s %7s %7s %8.4f %6.2f %6.2f %6.2f %7.2f %6.1f\n"
)

// WriteTable writes a table with one line per case and service. Times are in
// milliseconds, shares in percent except coverage.
func WriteTable(w io.Writer, results []Result) error {
	_, err := fmt.Fprintf(w, headerFormat, "user", "policy", "load", "fault", "service",
		"p50", "p99", "p99.9", "coverage", "ref%", "unk%", "below%", "extra%", "idle%")
	if err != nil {
		return errors.WithStack(err)
	}
	for _, r := range results {
		for _, s := range r.Services {
			onePercent := float64(max(s.Offered, 1)) / 100
			_, err := fmt.Fprintf(w, rowFormat, r.Deployment, r.Policy, 100*r.Load, r.Fault, s.Service,
				formatMS(s.P50), formatMS(s.P99), formatMS(s.P999), s.Coverage, float64(s.Refused)/onePercent,
				float64(s.Unknown)/onePercent, float64(s.BelowCoverage)/onePercent, 100*s.ExtraLoad, 100*r.IdleSlotShare)
			if err != nil {
				return errors.WithStack(err)
			}
		}
	}
	return nil
}

// formatMS formats a duration as a number of milliseconds with one decimal.
func formatMS(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// WriteLines writes one JSON line per case.
func WriteLines(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
