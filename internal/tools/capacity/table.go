package main

import (
	"math"
	"strconv"
	"strings"
)

// significantDigits is the number of digits printed for a value that is not whole
// and below 100.
const significantDigits = 3

// FitLine returns the least-squares line through the points. When all points have
// the same size, the slope is 0 and Fixed is their mean value.
func FitLine(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy float64
	for _, p := range points {
		xx += (p.Size - meanX) * (p.Size - meanX)
		xy += (p.Size - meanX) * (p.Value - meanY)
	}
	if xx == 0 {
		return Line{Fixed: meanY}
	}
	return Line{Fixed: meanY - xy/xx*meanX, Slope: xy / xx}
}

// FormatTable returns the points as a Markdown table with one row for each measure.
// The rows are in the order in which the measures first occur.
func FormatTable(points []Point) string {
	var order []string
	byMeasure := map[string][]Point{}
	for _, p := range points {
		if byMeasure[p.Measure] == nil {
			order = append(order, p.Measure)
		}
		byMeasure[p.Measure] = append(byMeasure[p.Measure], p)
	}
	var out strings.Builder
	out.WriteString("| measure | unit | size: value | fixed | slope |\n| --- | --- | --- | --- | --- |\n")
	for _, measure := range order {
		writeRow(&out, measure, byMeasure[measure])
	}
	return out.String()
}

// writeRow writes the row of a measure: its values by size and the least-squares
// line.
func writeRow(out *strings.Builder, measure string, points []Point) {
	values := make([]string, len(points))
	for i, p := range points {
		values[i] = FormatNumber(p.Size) + ": " + FormatNumber(p.Value)
	}
	line := FitLine(points)
	cells := []string{
		measure, points[0].Unit, strings.Join(values, ", "), FormatNumber(line.Fixed), FormatNumber(line.Slope) + " per " + points[0].Per,
	}
	out.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// FormatNumber formats a value with three significant digits, or as a whole number
// when it is whole or its absolute value is at least 100.
func FormatNumber(v float64) string {
	if math.Abs(v) >= 100 || v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', significantDigits, 64)
}
