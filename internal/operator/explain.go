package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/arbutusgauge/arbutusgauge/internal/explain"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

func addExplainCommand(app *kingpin.Application, commands map[string]commandFunc) {
	command := app.Command("explain", "Show where a request would go now, and why, without sending it. "+
		"Standard input has the request as JSON: host, path and, optionally, key. --host is the metrics address of an edged.")
	commands[command.FullCommand()] = func(ctx context.Context, s *session) error { return s.explain(ctx) }
}

// stdinName names standard input in errors.
const stdinName = "-"

func (s *session) explain(ctx context.Context) error {
	if len(s.client.hosts) == 0 {
		return newNoHostError()
	}
	body, err := readInput(ctx, s.opts.Stdin)
	if err != nil {
		return &FileError{File: stdinName, Err: err}
	}
	if _, err := explain.DecodeRequest(body); err != nil {
		return &UsageError{Message: err.Error()}
	}
	var report explain.Report
	call := apiCall{
		method: http.MethodPost, path: explain.Path, body: body, readOnly: true,
		header: map[string]string{"Content-Type": "application/json"},
	}
	if err := s.client.any(ctx, call, &report); err != nil {
		return err
	}
	return s.printResult(explainView(report))
}

// readInput reads a request from r until its end, or until ctx ends: a terminal may never end.
func readInput(ctx context.Context, r io.Reader) ([]byte, error) {
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		body, err := readlimit.ReadAll(r, -1, readlimit.Limits{What: "request to explain", Max: explain.MaxRequestBytes})
		done <- result{body, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case read := <-done:
		return read.body, read.err
	}
}

// explainView is the result of the explain command.
type explainView explain.Report

func (v explainView) writeText(w io.Writer) error {
	fmt.Fprintf(w, "host %s in %s, routing table version %d\n", v.Host, v.DataCentre, v.Version)
	if v.Route != "" {
		fmt.Fprintf(w, "route %s, caller %s\n", v.Route, strings.TrimSpace(v.Caller+" "+v.Account))
	}
	writeRefusal(w, "refused", v.Refused)
	if len(v.ForwardTo) > 0 {
		fmt.Fprintf(w, "forwarded to one of these aggregators at random: %s\nif it does not accept the query, this host runs it:\n", strings.Join(v.ForwardTo, ", "))
	} else if v.Refused == nil {
		fmt.Fprintln(w, "run by this host")
	}
	for i := range v.Targets {
		if err := writeTarget(w, &v.Targets[i]); err != nil {
			return err
		}
	}
	if len(v.NotChecked) > 0 {
		fmt.Fprintf(w, "not checked: %s\n", strings.Join(v.NotChecked, ", "))
	}
	return nil
}

func writeRefusal(w io.Writer, what string, r *explain.Refusal) {
	if r != nil {
		fmt.Fprintf(w, "%s: %d %s\n", what, r.Status, r.Reason)
	}
}

// writeTarget writes the unusual shards of a target in full and counts the others.
func writeTarget(w io.Writer, t *explain.Target) error {
	name := "service " + t.Service
	if t.Merged {
		name = "merged shards"
	}
	fmt.Fprintf(w, "\n%s, chosen with probability %.2f: %d of %d shards usable\n", name, t.Share, t.UsableShards, t.ShardCount)
	writeRefusal(w, "refused if run by this host", t.Refused)
	if len(t.FailoverTo) > 0 {
		fmt.Fprintf(w, "handed over to one of these hosts, which reach the replicas: %s\n", strings.Join(t.FailoverTo, ", "))
	}
	usual, full := 0, t.ShardCount == 1
	for i := range t.Shards {
		if !full && !t.Shards[i].Unusual {
			usual++
			continue
		}
		if err := writeShard(w, &t.Shards[i]); err != nil {
			return err
		}
	}
	if usual > 0 {
		fmt.Fprintf(w, "%d shards as usual: all replicas usable\n", usual)
	}
	if t.ShardsOmitted > 0 {
		fmt.Fprintf(w, "%d shards not shown\n", t.ShardsOmitted)
	}
	return nil
}

func writeShard(w io.Writer, s *explain.Shard) error {
	fmt.Fprintf(w, "\nshard %s: %s\n", s.Name, choiceText(s.Choice))
	rows := make([][]string, 0, len(s.Replicas))
	for i := range s.Replicas {
		r := &s.Replicas[i]
		rows = append(rows, []string{
			r.Addr, r.DataCentre, usabilityText(r), r.Wait.D().String(), r.Price.D().String(),
			strconv.Itoa(r.InFlight), strconv.Itoa(r.Queued), statedText(r.Stated),
		})
	}
	if err := writeTable(w, []string{"REPLICA", "DATA CENTRE", "USABLE", "WAIT", "PRICE", "IN FLIGHT", "QUEUED", "STATED LOAD"}, rows); err != nil {
		return err
	}
	if s.ReplicasOmitted > 0 {
		fmt.Fprintf(w, "%d replicas not shown\n", s.ReplicasOmitted)
	}
	return nil
}

// choiceText says which replica would be chosen.
func choiceText(c explain.Choice) string {
	least := strings.Join(c.Least, ", ")
	switch {
	case len(c.Least) == 0:
		return "no replica can be chosen"
	case c.Candidates == 1:
		return least + " would be chosen"
	case c.Candidates == len(c.Least):
		return "one of these at random: " + least
	}
	return fmt.Sprintf("at random among %d, most likely: %s", c.Candidates, least)
}

func usabilityText(r *explain.Replica) string {
	switch {
	case r.Usable:
		return "yes"
	case r.TimeLeft > 0:
		return "no: " + string(r.Reason) + ", " + r.TimeLeft.D().String() + " left"
	}
	return "no: " + string(r.Reason)
}

func statedText(l *explain.StatedLoad) string {
	if l == nil {
		return "-"
	}
	text := fmt.Sprintf("%d running, %d waiting, %d slots", l.Running, l.Waiting, l.Slots)
	if l.Slowness > 0 {
		text += fmt.Sprintf(", %d%%", l.Slowness)
	}
	return text + ", " + l.Age.D().String() + " ago"
}
