package operator

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/arbutusgauge/arbutusgauge/internal/burn"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// tablePadding is the number of spaces between the columns of a table.
const tablePadding = 2

func writeTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	for _, line := range append([][]string{header}, rows...) {
		fmt.Fprintln(table, strings.Join(line, "\t"))
	}
	return table.Flush()
}

// configView is the result of the services command; its JSON form is the
// configuration itself.
type configView release.Config

func (v configView) writeText(w io.Writer) error {
	fmt.Fprintf(w, "version %d, note %s\n\n", v.Version, v.Note)
	var services, searches [][]string
	for _, name := range slices.Sorted(maps.Keys(v.Services)) {
		s := v.Services[name]
		replicas := 0
		for _, shard := range s.Shards {
			replicas += len(shard.Replicas)
		}
		services = append(services, []string{
			name, strconv.Itoa(len(s.Shards)), strconv.Itoa(replicas),
			fmt.Sprint(s.Slots), fmt.Sprint(s.MaxConnections), s.ConnectCost.D().String(),
		})
	}
	for _, key := range slices.Sorted(maps.Keys(v.Searches)) {
		s := v.Searches[key]
		repeatable := "yes"
		if !s.Repeatable {
			repeatable = "no"
		}
		searches = append(searches, []string{
			key, repeatable, string(s.WaitRule), s.LatencyGoal.D().String(), s.Deadline.D().String(),
			fmt.Sprint(s.LeastCoverage),
			fmt.Sprintf("%v within %s at coverage %v", s.Objective.GoodFraction, s.Objective.Latency.D(), s.Objective.LeastCoverage),
		})
	}
	if err := writeTable(w, []string{"SERVICE", "SHARDS", "REPLICAS", "SLOTS", "CONNECTIONS", "CONNECT COST"}, services); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeTable(w, []string{"SEARCH", "REPEATABLE", "WAIT", "GOAL", "DEADLINE", "LEAST COVERAGE", "OBJECTIVE"}, searches)
}

func (s *session) services(ctx context.Context) error {
	cfg, err := s.fetchConfig(ctx)
	if err != nil {
		return err
	}
	return s.printResult(configView(*cfg))
}

// replicasView is the result of the replicas command.
type replicasView struct {
	Replicas []replicaInfo `json:"replicas"`
	Missing  []string      `json:"missing_hosts"` // hosts that gave no answer
}

func (v replicasView) writeText(w io.Writer) error {
	rows := make([][]string, 0, len(v.Replicas))
	for _, r := range v.Replicas {
		rows = append(rows, []string{
			fmt.Sprint(r.Shard), r.Replica, r.Owner, r.State, fmt.Sprint(r.InFlight), fmt.Sprint(r.Queued), fmt.Sprint(r.Slots),
			fmt.Sprint(r.Connections), fmt.Sprintf("%d-%d", r.Held.Oldest, r.Held.Newest),
		})
	}
	return writeTable(w, []string{"SHARD", "REPLICA", "OWNER", "STATE", "IN FLIGHT", "QUEUED", "SLOTS", "CONNECTIONS", "SNAPSHOTS"}, rows)
}

// hostReply is the answer of one host, or the error of the call to it.
type hostReply[T any] struct {
	host  hostInfo
	reply T
	err   error
}

// gatherFromHosts reads path from every serving host. It returns the answers, and
// the names of the hosts that gave none, for which it prints warnings.
// *HostsError means that no host answered.
func gatherFromHosts[T any](ctx context.Context, s *session, path string) ([]hostReply[T], []string, error) {
	hosts, listFailures, err := s.listHosts(ctx)
	if err != nil {
		return nil, nil, err
	}
	s.warnOnce(map[string]bool{}, listFailures)
	hosts = servingHosts(hosts)
	out, addrs := make([]hostReply[T], len(hosts)), make([]string, len(hosts))
	for i, h := range hosts {
		out[i].host, addrs[i] = h, h.HTTPAddr
	}
	failures := s.callEach(addrs, func(i int, addr string) error {
		out[i].err = s.client.send(ctx, addr, getCall(path), &out[i].reply)
		return out[i].err
	})
	if len(failures) > 0 && len(failures) == len(hosts) {
		return nil, nil, &HostsError{Failures: failures}
	}
	missing := []string{}
	for _, r := range out {
		if r.err != nil {
			missing = append(missing, r.host.Name)
			s.warn("the result lacks host %s: %s", r.host.Name, r.err)
		}
	}
	return slices.DeleteFunc(out, func(r hostReply[T]) bool { return r.err != nil }), missing, nil
}

func (s *session) replicas(ctx context.Context, service string) error {
	replies, missing, err := gatherFromHosts[replicasReply](ctx, s, "/v1/operator/replicas?"+url.Values{"service": {service}}.Encode())
	if err != nil {
		return err
	}
	out := replicasView{Missing: missing, Replicas: []replicaInfo{}}
	for _, fromHost := range replies {
		for _, r := range fromHost.reply.Replicas {
			r.Owner = fromHost.host.Name
			out.Replicas = append(out.Replicas, r)
		}
	}
	slices.SortFunc(out.Replicas, func(a, b replicaInfo) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), strings.Compare(a.Replica, b.Replica), strings.Compare(a.Owner, b.Owner))
	})
	return s.printResult(out)
}

// burnView is the result of the burn command.
type burnView struct{ burn.Report }

func (v burnView) writeText(w io.Writer) error { return v.WriteText(w) }

// burn shows how fast the error budgets are spent. It also writes the report to
// htmlFile, unless that is empty.
func (s *session) burn(ctx context.Context, htmlFile string) error {
	replies, missing, err := gatherFromHosts[burn.HostReport](ctx, s, "/v1/operator/burn")
	if err != nil {
		return err
	}
	reports := make([]burn.HostReport, len(replies))
	for i, fromHost := range replies {
		reports[i] = fromHost.reply
	}
	report := burn.Merge(reports)
	for _, name := range missing {
		report.Warnings = append(report.Warnings, "host "+name+" gave no report")
	}
	if htmlFile != "" {
		var page bytes.Buffer
		if err := report.WriteHTML(&page); err != nil {
			return err
		}
		if err := os.WriteFile(htmlFile, page.Bytes(), reportFileMode); err != nil {
			return &FileError{File: htmlFile, Err: innerError(err)}
		}
	}
	return s.printResult(burnView{report})
}

// reportFileMode lets every user read the HTML report.
const reportFileMode = 0o644
