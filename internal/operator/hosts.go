package operator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stateLive    = "live"
	stateSuspect = "suspect"
)

// members asks every given host for its member view and merges the views, so
// that hosts that a partition hides from one of them are seen.
func (s *session) members(ctx context.Context) ([]host, []error, error) {
	if len(s.client.hosts) == 0 {
		return nil, nil, errNoHost()
	}
	do := get("/v1/operator/hosts")
	do.timeout = min(membersTimeout, s.client.timeout)
	replies := make([]hostsReply, len(s.client.hosts))
	failures := s.each(s.client.hosts, func(i int, addr string) error {
		return s.client.send(ctx, addr, do, &replies[i])
	})
	if len(failures) == len(replies) {
		return nil, nil, &HostsError{Failures: failures}
	}
	merged := map[string]host{}
	for _, reply := range replies {
		for _, next := range reply.Hosts {
			merged[next.Name] = newer(merged[next.Name], next)
		}
	}
	out := make([]host, 0, len(merged))
	for _, h := range merged {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b host) int { return strings.Compare(a.Name, b.Name) })
	return out, failures, nil
}

// newer merges two views of one host. A restart has a higher incarnation; of
// one incarnation the version only grows, and live in one view is taken as live.
func newer(a, b host) host {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	if a.State == stateLive {
		b.State = stateLive
	}
	b.ConfigVersion = max(a.ConfigVersion, b.ConfigVersion)
	return b
}

// each calls do for every address, several at a time, and returns the failures.
func (s *session) each(addrs []string, do func(i int, addr string) error) []error {
	var wait sync.WaitGroup
	results, slots := make([]error, len(addrs)), make(chan struct{}, parallelCalls)
	for i, addr := range addrs {
		slots <- struct{}{}
		wait.Go(func() {
			results[i] = do(i, addr)
			<-slots
		})
	}
	wait.Wait()
	return slices.DeleteFunc(results, func(err error) bool { return err == nil })
}

// serving returns the hosts that may serve callers. A suspect host counts,
// because it may be live.
func serving(hosts []host) []host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h host) bool { return h.State != stateLive && h.State != stateSuspect })
}

func names(hosts []host) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}

// waitFor polls the member views until every serving host shows the version,
// and returns these hosts. *NotInForceError names the hosts that don't show it.
func (s *session) waitFor(ctx context.Context, version uint64, timeout time.Duration) ([]host, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, warned := &NotInForceError{Version: version}, map[string]bool{}
	for {
		hosts, failures, err := s.members(ctx)
		if err == nil {
			behind := behindOf(hosts, version)
			if len(behind) == 0 {
				return serving(hosts), nil
			}
			out.Behind = behind
		}
		if ctx.Err() == nil {
			s.warnOnce(warned, failures)
		}
		select {
		case <-ctx.Done():
			// Less than the timeout when a signal ended the wait.
			out.Waited = min(timeout, time.Since(start).Round(time.Millisecond))
			return nil, out
		case <-time.After(pollInterval):
		}
	}
}

func behindOf(hosts []host, version uint64) []string {
	var out []string
	for _, h := range serving(hosts) {
		if h.ConfigVersion < version {
			out = append(out, fmt.Sprintf("%s (version %d)", h.Name, h.ConfigVersion))
		}
	}
	if len(serving(hosts)) == 0 {
		out = append(out, "any host (no live host is listed)")
	}
	return out
}

func (s *session) warnOnce(warned map[string]bool, failures []error) {
	for _, failure := range failures {
		if text := failure.Error(); !warned[text] {
			warned[text] = true
			s.warn("%s", text)
		}
	}
}

type versionsView struct {
	Hosts []host `json:"hosts"`
}

func (v versionsView) writeText(w io.Writer) error {
	rows := make([][]string, 0, len(v.Hosts))
	for _, h := range v.Hosts {
		rows = append(rows, []string{h.Name, h.DataCentre, h.HTTPAddr, h.State, strconv.FormatUint(h.ConfigVersion, 10)})
	}
	return writeTable(w, []string{"HOST", "DATA CENTRE", "HTTP ADDRESS", "STATE", "VERSION"}, rows)
}

func (s *session) versions(ctx context.Context, wait uint64, timeout time.Duration) error {
	if wait > 0 {
		if _, err := s.waitFor(ctx, wait, timeout); err != nil {
			return err
		}
	}
	hosts, failures, err := s.members(ctx)
	if err != nil {
		return err
	}
	s.warnOnce(map[string]bool{}, failures)
	return s.show(versionsView{Hosts: hosts})
}
