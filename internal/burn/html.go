package burn

import (
	"html/template"
	"io"

	"github.com/pkg/errors"
)

var reportPage = template.Must(template.New("burn").Funcs(template.FuncMap{"percent": formatPercent}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #ccc; padding: 0.3em 0.8em; text-align: left; }
.slow_burn { background: #fff3cd; }
.fast_burn { background: #f8d7da; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Burn report</h1>
<p>{{len .Report.Hosts}} hosts: {{range $i, $h := .Report.Hosts}}{{if $i}}, {{end}}{{$h}}{{end}}.
At {{.Report.At.Format .TimeLayout}}. A burn rate of 1 uses exactly the error budget.</p>
{{range .Report.Warnings}}<p><strong>Warning:</strong> {{.}}</p>
{{end}}<table>
<tr><th>search</th><th>state</th><th>objective</th><th>error budget</th><th>burn rate 5 min</th><th>burn rate 1 h</th>
<th>requests 1 h</th><th>bad / allowed 1 h</th><th>causes 1 h</th></tr>
{{range .Searches}}<tr class="{{.State}}"><td><a href="#{{.Service}}/{{.Search}}">{{.Service}}/{{.Search}}</a></td><td>{{.State}}</td>
<td>{{.ObjectiveText}}</td><td>{{percent .Budget}}</td><td>{{printf "%.2f" .Short.BurnRate}}</td><td>{{printf "%.2f" .Long.BurnRate}}</td>
<td>{{.Long.Requests}}</td><td>{{.Long.Bad}} / {{printf "%.1f" .Long.Allowed}}</td><td>{{.Long.CausesText}}</td></tr>
{{end}}</table>
{{range .Searches}}<h2 id="{{.Service}}/{{.Search}}">{{.Service}}/{{.Search}}</h2>
<p>{{.ObjectiveText}}; causes in the last 5 min: {{.Short.CausesText}}</p>
<div>{{.BurnPlot}}{{.CausesPlot}}</div>
{{end}}</body>
</html>
`))

// searchView is the template's data for one search, with plots as SVG elements.
type searchView struct {
	SearchReport
	BurnPlot, CausesPlot template.HTML
}

// WriteHTML writes the report as one self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	view := struct {
		Report     Report
		Searches   []searchView
		TimeLayout string
	}{Report: r, TimeLayout: timeLayout}
	for _, s := range r.Searches {
		burn, err := burnPlot(s)
		if err != nil {
			return err
		}
		causes, err := causesPlot(s)
		if err != nil {
			return err
		}
		// The plots hold only fixed text and numbers, so they need no escaping.
		view.Searches = append(view.Searches, searchView{SearchReport: s, BurnPlot: template.HTML(burn), CausesPlot: template.HTML(causes)})
	}
	return errors.WithStack(reportPage.Execute(w, view))
}
