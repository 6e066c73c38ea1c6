package main

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against a wrong line through points that lie on one line, and against a
// division by zero when all points have the same size.
func TestFitReturnsLeastSquaresLine(t *testing.T) {
	line := FitLine([]Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	if line != (Line{Fixed: 3, Slope: 2}) {
		t.Fatalf("got %+v", line)
	}
	if line := FitLine([]Point{{Size: 3, Value: 5}, {Size: 3, Value: 7}}); line != (Line{Fixed: 6}) {
		t.Fatalf("points of one size: got %+v", line)
	}
}

// Guards against rows that mix up measures or are not in the order of the points.
func TestTableHasOneRowForEachMeasure(t *testing.T) {
	points, err := ParsePoints([]byte(`{"measure":"b","size":1,"per":"host","value":5,"unit":"B"}
{"measure":"a","size":1,"per":"host","value":1234.5,"unit":"µs"}

{"measure":"b","size":3,"per":"host","value":6,"unit":"B"}`))
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(FormatTable(points)), "\n")[2:]
	want := []string{
		"| b | B | 1: 5, 3: 6 | 4.5 | 0.5 per host |",
		"| a | µs | 1: 1234 | 1234 | 0 per host |",
	}
	if strings.Join(rows, "\n") != strings.Join(want, "\n") {
		t.Fatalf("got\n%s", strings.Join(rows, "\n"))
	}
}

// Guards against invalid lines that are skipped without an error.
func TestParsePointsReportsInvalidLine(t *testing.T) {
	_, err := ParsePoints([]byte("{}\nnot a point"))
	var lineErr *PointParseError
	if !errors.As(err, &lineErr) || lineErr.LineNumber != 2 {
		t.Fatalf("got %v", err)
	}
}

// Guards against fields of /proc/PID/stat that shift when the process name contains
// spaces or parentheses.
func TestParseStatReadsTimesAndMemory(t *testing.T) {
	text := "17 (a) b) S 1 1 1 0 -1 4194560 5 0 0 0 250 50 0 0 20 0 9 0 100 999 7 18446744073709551615"
	stat, err := parseStat(text)
	if err != nil {
		t.Fatal(err)
	}
	if want := (processStat{cpu: 3 * time.Second, resident: float64(7 * os.Getpagesize())}); stat != want {
		t.Fatalf("got %+v, want %+v", stat, want)
	}
	var statErr *StatError
	if _, err := parseStat("17 (a) S 1"); !errors.As(err, &statErr) {
		t.Fatalf("got %v", err)
	}
}

// Guards against quantiles that are off by one value.
func TestQuantile(t *testing.T) {
	values := []time.Duration{4, 1, 3, 2}
	for q, want := range map[float64]time.Duration{0: 1, 0.5: 2, 0.75: 3, 0.99: 4, 1: 4} {
		if got := Quantile(values, q); got != want {
			t.Errorf("quantile %v: got %v, want %v", q, got, want)
		}
	}
}
