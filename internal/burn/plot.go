package burn

import (
	"bytes"
	"image/color"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	lineWidth  = vg.Millimeter / 2
	barWidth   = 3 * vg.Millimeter
	// bucketsPerGroup buckets make one bar or point of a plot. They span the
	// 2 minutes that the axis label in causesPlot states.
	bucketsPerGroup = 4
	tickMinutes     = 10
	// headroomFactor is the top of the value axis as a multiple of the largest
	// value, so that the legend does not cover the data.
	headroomFactor = 1.3
)

var (
	lineColour   = color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}
	limitColour  = color.RGBA{R: 0xb0, G: 0x20, B: 0x20, A: 0xff}
	classColours = [numClasses]color.RGBA{
		Late:          {R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
		BelowCoverage: {R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
		Refused:       {R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
		Unknown:       {R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	}
)

// bucketGroup holds the sum of consecutive buckets, drawn as one bar or point.
type bucketGroup struct {
	endMinutes float64 // end of the group in minutes, counted from the end of the report; at most 0
	counts     Counts
}

func groupBuckets(series []Point) []bucketGroup {
	var out []bucketGroup
	for i := 0; i < len(series); i += bucketsPerGroup {
		end := min(i+bucketsPerGroup, len(series))
		group := bucketGroup{endMinutes: -float64(len(series)-end) * bucketWidth.Minutes()}
		for _, p := range series[i:end] {
			group.counts.add(p.Counts)
		}
		out = append(out, group)
	}
	return out
}

// burnPlot draws the burn rate over the long window, with a line at 1.
func burnPlot(s SearchReport) ([]byte, error) {
	p := newPlot("Burn rate", "times the allowed rate")
	var rate plotter.XYs
	for _, group := range groupBuckets(s.Series) {
		rate = append(rate, plotter.XY{X: group.endMinutes, Y: newWindow(longWindow, group.counts, s.Budget).BurnRate})
	}
	line, err := plotter.NewLine(rate)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	line.Color, line.Width = lineColour, lineWidth
	limit, err := plotter.NewLine(plotter.XYs{{X: -longWindow.Minutes(), Y: 1}, {X: 0, Y: 1}})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	limit.Color, limit.Dashes = limitColour, []vg.Length{vg.Millimeter, vg.Millimeter}
	p.Add(line, limit)
	p.Legend.Add("allowed", limit)
	p.X.Tick.Marker = plot.ConstantTicks(minuteTicks(func(minutes float64) float64 { return minutes }))
	p.Y.Max *= headroomFactor
	return renderSVG(p)
}

// causesPlot draws the bad requests over the long window, stacked by class.
func causesPlot(s SearchReport) ([]byte, error) {
	p := newPlot("Bad requests", "requests in 2 min")
	groups := groupBuckets(s.Series)
	var previous *plotter.BarChart
	for class := Late; class < numClasses; class++ {
		values := make(plotter.Values, len(groups))
		for i, group := range groups {
			values[i] = float64(group.counts[class])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		bars.Color, bars.LineStyle.Width = classColours[class], 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(class.String(), bars)
	}
	groupMinutes := bucketsPerGroup * bucketWidth.Minutes()
	p.X.Min, p.X.Max = -0.5, float64(len(groups))-0.5 // bars are centred on whole numbers
	p.X.Tick.Marker = plot.ConstantTicks(minuteTicks(func(minutes float64) float64 { return p.X.Max + minutes/groupMinutes }))
	p.Y.Max = headroomFactor * max(p.Y.Max, 1)
	return renderSVG(p)
}

// minuteTicks returns the ticks of the time axis. The function position maps a
// time in minutes, counted from the end of the report and at most 0, to the axis.
func minuteTicks(position func(minutes float64) float64) []plot.Tick {
	var out []plot.Tick
	for minutes := -longWindow.Minutes(); minutes <= 0; minutes += tickMinutes {
		out = append(out, plot.Tick{Value: position(minutes), Label: strconv.Itoa(int(minutes))})
	}
	return out
}

func newPlot(title, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = yLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// renderSVG draws the plot as an SVG element for an HTML page, without the XML
// declaration before it.
func renderSVG(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, errors.WithStack(err)
	}
	body := b.Bytes()
	if start := bytes.Index(body, []byte("<svg")); start > 0 {
		body = body[start:]
	}
	return body, nil
}
