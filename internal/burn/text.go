package burn

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const tablePadding = 2 // spaces between columns

// WriteText writes the report as a table with one line for each search, followed
// by the number of hosts, the time of the report and the warnings.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(table, "SEARCH\tSTATE\tOBJECTIVE\tBUDGET\tBURN 5M\tBURN 1H\tREQUESTS 1H\tGOOD 1H\tCAUSES 1H")
	for _, s := range r.Searches {
		fmt.Fprintf(table, "%s/%s\t%s\t%s\t%s\t%.2f\t%.2f\t%d\t%s\t%s\n", s.Service, s.Search, s.State, s.ObjectiveText(),
			formatPercent(s.Budget), s.Short.BurnRate, s.Long.BurnRate, s.Long.Requests, formatPercent(s.Long.GoodRatio), s.Long.CausesText())
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	_, err := fmt.Fprintf(w, "%d hosts, at %s\n", len(r.Hosts), r.At.Format(timeLayout))
	for _, warning := range r.Warnings {
		if err == nil {
			_, err = fmt.Fprintln(w, "warning: "+warning)
		}
	}
	return errors.WithStack(err)
}

const timeLayout = "2006-01-02 15:04:05 MST"

// ObjectiveText describes the objective in the form
// "99% within 100ms at coverage 0.9".
func (s SearchReport) ObjectiveText() string {
	return fmt.Sprintf("%s within %s at coverage %v", formatPercent(s.Objective.GoodFraction), s.Objective.Latency.D(), s.Objective.LeastCoverage)
}

// CausesText lists the share of each cause in the bad requests, largest first,
// such as "refused 83.33%, late 16.67%". It returns "-" when there are none.
func (w Window) CausesText() string {
	names := make([]string, 0, len(w.Causes))
	for name := range w.Causes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := w.Causes[a], w.Causes[b]; {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = name + " " + formatPercent(w.Causes[name])
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

const percentFactor = 100

// formatPercent formats a fraction as a percentage with 4 significant digits.
func formatPercent(fraction float64) string { return fmt.Sprintf("%.4g%%", percentFactor*fraction) }
