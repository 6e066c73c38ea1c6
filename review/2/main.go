// Command 2 kills the host that reads the store for the others. A replica reports that
// it drains between two pages of the list that the next reader reads, and ends a little
// later than drain_ms after that. The command checks that no undisturbed host sends requests
// to the replica in between.
package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/arbutusgauge/arbutusgauge/review"
)

const (
	target   = "/call/usual"
	workTime = 400 * time.Millisecond
	deadline = 2 * time.Second
	// settleTime is the time in which the hosts find their leaders and are counted.
	settleTime = 15 * time.Second
	// drainTime is drain_ms.
	drainTime = 3 * time.Second
	// quietTime is the time after drainTime before the requests begin. Until then nobody asks
	// for the service.
	quietTime = 200 * time.Millisecond
	// lateTime is the time after drainTime in which the replica still serves.
	lateTime = 500 * time.Millisecond
	pause    = 40 * time.Millisecond
	// warmUpRequests is the number of requests to each host before the disruption.
	warmUpRequests = 12
)

func main() { review.Main(run) }

// drain is the report of the replica that leaves.
type drain struct {
	once    sync.Once
	done    chan struct{}
	acked   time.Time
	replica *review.Replica
}

func (dr *drain) report(d *review.Deployment) {
	dr.once.Do(func() {
		dr.replica.Locked(func() { dr.replica.Leaving = true })
		dr.acked = d.Store.Put(dr.replica.Key(), dr.replica.Entry("draining"))
		d.Record.Line("the store has accepted that %s drains", dr.replica.ID)
		close(dr.done)
	})
}

func run(d *review.Deployment) int {
	calls, err := start(d)
	if err != nil {
		return review.Failed(err)
	}
	dr := &drain{done: make(chan struct{}), replica: calls[0]}
	var killed *review.Host
	if review.Trouble() {
		if killed = d.Leader(review.Zones[0]); killed == nil {
			return review.Failed(&review.NotReadyError{Host: "the host that reads the store"})
		}
		d.Store.SetAfterPage(func(prefix, after string, truncated bool) {
			if prefix == "servers/" && after == "" && truncated {
				dr.report(d)
			}
		})
		d.Record.Line("%s is killed", killed.Name)
		killed.Kill()
	} else {
		dr.report(d)
	}
	select {
	case <-dr.done:
	case <-time.After(5 * time.Second):
		return review.Failed(&review.NotReadyError{Host: "another host that reads the store"})
	}
	if killed != nil {
		if err := killed.Start(); err != nil {
			return review.Failed(err)
		}
	}
	time.Sleep(time.Until(dr.acked.Add(drainTime + quietTime)))
	time.AfterFunc(lateTime-quietTime, func() {
		dr.replica.End()
		d.Record.Line("%s has ended", dr.replica.ID)
	})
	sendAll(d, dr.acked.Add(drainTime+lateTime), killed)
	d.RecordRuns(calls)
	return judge(d, dr)
}

// start starts the deployment with a service whose replicas come last in the list.
func start(d *review.Deployment) ([]*review.Replica, error) {
	if err := d.AddShards(); err != nil {
		return nil, err
	}
	for _, name := range []string{"n-log", "p-office"} {
		if _, err := d.AddService(name, 3, workTime, append(review.Zones, review.Zones...)...); err != nil {
			return nil, err
		}
	}
	// All replicas are as far from the hosts of the other zones, which use them alike.
	calls, err := d.AddService("z-call", 3, workTime, review.Zones[0], review.Zones[0], review.Zones[0])
	if err != nil {
		return nil, err
	}
	route := review.Route{Name: "r-call", Prefix: "/call/", Type: "unsafe", Service: "z-call", MaxAttempts: 2, TimeoutMS: 5000}
	d.Configure(7, route)
	if err := d.StartHosts(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime / 2)
	warmUp(d)
	route.TimeoutMS = 4000
	d.Configure(9, route)
	time.Sleep(settleTime / 2)
	text, _ := json.Marshal(d.Store.Values("hosts/"))
	d.Record.Line("seats of the hosts: %s", text)
	return calls, nil
}

// warmUp sends requests to all hosts, some at a time, so that each host has used each replica.
func warmUp(d *review.Deployment) {
	var group sync.WaitGroup
	for n := range warmUpRequests {
		for i, h := range d.Hosts {
			group.Go(func() { h.Send("POST", target, fmt.Sprintf("first-%d-%d", n, i), deadline) })
		}
	}
	group.Wait()
}

// sendAll sends requests to all hosts but the killed one until a time.
func sendAll(d *review.Deployment, until time.Time, killed *review.Host) {
	var group sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		for i, h := range d.Hosts {
			if h == killed {
				continue
			}
			group.Go(func() {
				id := fmt.Sprintf("usual-%d-%d", n, i)
				a := h.Send("POST", target, id, deadline)
				d.Record.Line("%s at %s answered %d by %s", id, h.Name, a.Code, a.Header.Get("X-Response-Stamp"))
			})
		}
		time.Sleep(pause)
	}
	group.Wait()
}

func judge(d *review.Deployment, dr *drain) int {
	late, cut := 0, 0
	for _, run := range dr.replica.Runs() {
		if age := run.At.Sub(dr.acked); age > drainTime {
			late++
			if run.Cut {
				cut++
			}
			d.Record.Line("%s reached %s %.3f s after the store had accepted that it drains; cut off: %v", run.Attempt, run.Replica, age.Seconds(), run.Cut)
		}
	}
	return d.Record.Verdict(late > 0, fmt.Sprintf("DRAIN: %d requests reached a draining replica later than 3 s after the acknowledgement, %d of them were cut off by its end", late, cut))
}
