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
	// pointsPerMark is the number of buckets in one mark of a plot: 2 minutes.
	pointsPerMark = 4
	tickMinutes   = 10
	// headroom is the height of a plot over its largest value, so that the
	// legend covers no mark.
	headroom = 1.3
)

var (
	lineColour   = color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}
	limitColour  = color.RGBA{R: 0xb0, G: 0x20, B: 0x20, A: 0xff}
	classColours = [classes]color.RGBA{
		Late:          {R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
		BelowCoverage: {R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
		Refused:       {R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
		Unknown:       {R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	}
)

// mark is a group of buckets.
type mark struct {
	minutes float64 // of its end, before the end of the report; at most 0
	counts  Counts
}

func marks(series []Point) []mark {
	var out []mark
	for i := 0; i < len(series); i += pointsPerMark {
		end := min(i+pointsPerMark, len(series))
		m := mark{minutes: -float64(len(series)-end) * bucketWidth.Minutes()}
		for _, p := range series[i:end] {
			m.counts.add(p.Counts)
		}
		out = append(out, m)
	}
	return out
}

// burnPlot draws the burn rate over the long window, with a line at 1.
func burnPlot(s SearchReport) ([]byte, error) {
	p := newPlot("Burn rate", "times the allowed rate")
	var rate plotter.XYs
	for _, m := range marks(s.Series) {
		rate = append(rate, plotter.XY{X: m.minutes, Y: window(longWindow, m.counts, s.Budget).BurnRate})
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
	p.Y.Max *= headroom
	return svg(p)
}

// causesPlot draws the bad requests over the long window, stacked by class.
func causesPlot(s SearchReport) ([]byte, error) {
	p := newPlot("Bad requests", "requests in 2 min")
	all := marks(s.Series)
	var below *plotter.BarChart
	for class := Late; class < classes; class++ {
		values := make(plotter.Values, len(all))
		for i, m := range all {
			values[i] = float64(m.counts[class])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		bars.Color, bars.LineStyle.Width = classColours[class], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(class.String(), bars)
	}
	markSpan := pointsPerMark * bucketWidth.Minutes()
	p.X.Min, p.X.Max = -0.5, float64(len(all))-0.5 // bars are centred on whole numbers
	p.X.Tick.Marker = plot.ConstantTicks(minuteTicks(func(minutes float64) float64 { return p.X.Max + minutes/markSpan }))
	p.Y.Max = headroom * max(p.Y.Max, 1)
	return svg(p)
}

// minuteTicks returns the ticks of the time axis; at gives the position of a
// time in minutes before the end.
func minuteTicks(at func(minutes float64) float64) []plot.Tick {
	var out []plot.Tick
	for minutes := -longWindow.Minutes(); minutes <= 0; minutes += tickMinutes {
		out = append(out, plot.Tick{Value: at(minutes), Label: strconv.Itoa(int(minutes))})
	}
	return out
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "minutes before the report"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// svg draws the plot as an SVG element that can stand in an HTML page.
func svg(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, errors.WithStack(err)
	}
	body := b.Bytes()
	if at := bytes.Index(body, []byte("<svg")); at > 0 {
		body = body[at:]
	}
	return body, nil
}
