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

// States of hosts in the member view.
const (
	stateLive    = "live"
	stateSuspect = "suspect"
)

// listHosts asks every given host for its member view and returns the merged
// views, sorted by name, and the failures of single hosts. The merged view also
// has the hosts that a partition hides from some of the given hosts.
// *HostsError means that no host answered.
func (s *session) listHosts(ctx context.Context) ([]hostInfo, []error, error) {
	if len(s.client.hosts) == 0 {
		return nil, nil, newNoHostError()
	}
	call := getCall("/v1/operator/hosts")
	call.timeout = min(listHostsTimeout, s.client.timeout)
	replies := make([]hostsReply, len(s.client.hosts))
	failures := s.callEach(s.client.hosts, func(i int, addr string) error {
		return s.client.send(ctx, addr, call, &replies[i])
	})
	if len(failures) == len(replies) {
		return nil, nil, &HostsError{Failures: failures}
	}
	merged := map[string]hostInfo{}
	for _, reply := range replies {
		for _, reported := range reply.Hosts {
			merged[reported.Name] = mergeHost(merged[reported.Name], reported)
		}
	}
	out := make([]hostInfo, 0, len(merged))
	for _, h := range merged {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b hostInfo) int { return strings.Compare(a.Name, b.Name) })
	return out, failures, nil
}

// mergeHost merges two views of one host. A restart gives a host a higher
// incarnation, so the view with the higher one replaces the other. In the same
// incarnation the configuration version only grows, and a host that one view
// shows as live counts as live.
func mergeHost(a, b hostInfo) hostInfo {
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

// callEach runs call for every address, at most maxParallelCalls at a time, and
// returns the failures.
func (s *session) callEach(addrs []string, call func(i int, addr string) error) []error {
	var wg sync.WaitGroup
	errs, semaphore := make([]error, len(addrs)), make(chan struct{}, maxParallelCalls)
	for i, addr := range addrs {
		semaphore <- struct{}{}
		wg.Go(func() {
			errs[i] = call(i, addr)
			<-semaphore
		})
	}
	wg.Wait()
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// servingHosts returns the hosts that may serve callers: the live hosts and the
// suspect ones, which may be live.
func servingHosts(hosts []hostInfo) []hostInfo {
	return slices.DeleteFunc(slices.Clone(hosts), func(h hostInfo) bool { return h.State != stateLive && h.State != stateSuspect })
}

func hostNames(hosts []hostInfo) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Name
	}
	return out
}

// waitForVersion polls the member views until every serving host shows the
// version or a higher one, and returns these hosts. *NotInForceError names the
// hosts that don't show it when the timeout has passed or ctx has ended.
func (s *session) waitForVersion(ctx context.Context, version uint64, timeout time.Duration) ([]hostInfo, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	notInForce, warned := &NotInForceError{Version: version}, map[string]bool{}
	for {
		hosts, failures, err := s.listHosts(ctx)
		if err == nil {
			behind := hostsBehind(hosts, version)
			if len(behind) == 0 {
				return servingHosts(hosts), nil
			}
			notInForce.Behind = behind
		}
		if ctx.Err() == nil {
			s.warnOnce(warned, failures)
		}
		select {
		case <-ctx.Done():
			// The wait is shorter than the timeout if a signal ended it.
			notInForce.Waited = min(timeout, time.Since(start).Round(time.Millisecond))
			return nil, notInForce
		case <-time.After(pollInterval):
		}
	}
}

// hostsBehind describes the serving hosts that don't show the version. It has an
// entry as well if no host serves, so that an empty result means that the version
// is in force.
func hostsBehind(hosts []hostInfo, version uint64) []string {
	var out []string
	for _, h := range servingHosts(hosts) {
		if h.ConfigVersion < version {
			out = append(out, fmt.Sprintf("%s (version %d)", h.Name, h.ConfigVersion))
		}
	}
	if len(servingHosts(hosts)) == 0 {
		out = append(out, "any host (no live host is listed)")
	}
	return out
}

// warnOnce prints the failures that are not in warned and adds them to it.
func (s *session) warnOnce(warned map[string]bool, failures []error) {
	for _, failure := range failures {
		if text := failure.Error(); !warned[text] {
			warned[text] = true
			s.warn("%s", text)
		}
	}
}

type versionsView struct {
	Hosts []hostInfo `json:"hosts"`
}

func (v versionsView) writeText(w io.Writer) error {
	rows := make([][]string, 0, len(v.Hosts))
	for _, h := range v.Hosts {
		rows = append(rows, []string{h.Name, h.DataCentre, h.HTTPAddr, h.State, strconv.FormatUint(h.ConfigVersion, 10)})
	}
	return writeTable(w, []string{"HOST", "DATA CENTRE", "HTTP ADDRESS", "STATE", "VERSION"}, rows)
}

// versions shows the version in force on each host. If wait is not 0, it first
// waits until every serving host shows version wait or a higher one.
func (s *session) versions(ctx context.Context, wait uint64, timeout time.Duration) error {
	if wait > 0 {
		if _, err := s.waitForVersion(ctx, wait, timeout); err != nil {
			return err
		}
	}
	hosts, failures, err := s.listHosts(ctx)
	if err != nil {
		return err
	}
	s.warnOnce(map[string]bool{}, failures)
	return s.printResult(versionsView{Hosts: hosts})
}
