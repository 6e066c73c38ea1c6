package main

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/burn"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	ticketsPerCall = 1000 // issued in one call
	answerBytes    = 512  // body that is stored with a used ticket
)

var (
	ticketCounts = []int{1_000, 10_000, 50_000}
	searchCounts = []int{10, 100, 500}
)

// measureOnce measures the memory and processor time of used tickets.
func measureOnce(r Recorder, _ *Options) error {
	for _, count := range ticketCounts {
		if err := measureTickets(r, count); err != nil {
			return err
		}
	}
	return nil
}

func measureTickets(r Recorder, count int) error {
	before := liveMemory()
	registry, err := once.New(once.Options{DataCentre: dataCentreName(0), Addr: "127.0.0.1:7000", Incarnation: 1})
	if err != nil {
		return err
	}
	begin := processorTime(rusageSelf)
	request := once.HashRequest(serviceName(0), searchName, nil)
	for range count / ticketsPerCall {
		tickets, err := registry.Issue(ticketsPerCall)
		if err != nil {
			return err
		}
		for _, ticket := range tickets {
			claim, err := registry.Begin(ticket, request)
			if err != nil {
				return err
			}
			claim.Finish(wire.Answered, once.Answer{Status: 200, Body: make([]byte, answerBytes)})
		}
	}
	usedMicros := float64((processorTime(rusageSelf) - begin).Nanoseconds()) / float64(time.Microsecond)
	size := float64(count)
	if err := r.Record(Point{
		Measure: "once: memory of used tickets with answers of 512 B", Size: size, Per: "ticket", Value: liveMemoryWith(registry) - before, Unit: "B",
	}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "once: tickets issued, begun and finished", Size: size, Per: "ticket", Value: usedMicros, Unit: "µs",
	})
}

// measureBurn measures the memory and processor time of the service-level budgets
// of searches.
func measureBurn(r Recorder, _ *Options) error {
	for _, count := range searchCounts {
		if err := measureSearches(r, count); err != nil {
			return err
		}
	}
	return nil
}

func measureSearches(r Recorder, count int) error {
	before := liveMemory()
	recorder, err := burn.New(burn.Options{Host: "host-0", DataCentre: dataCentreName(0)})
	if err != nil {
		return err
	}
	result := burn.Result{
		Outcome: wire.Answered, Latency: time.Millisecond, Coverage: 1, Objective: newSearch(0).Objective,
	}
	names := make([]string, count)
	for i := range names {
		names[i] = serviceName(i)
		recorder.Record(names[i], searchName, result)
	}
	size := float64(count)
	if err := r.Record(Point{
		Measure: "burn: memory of searches", Size: size, Per: "search", Value: liveMemoryWith(recorder, names) - before, Unit: "B",
	}); err != nil {
		return err
	}
	c, err := measureCost(rusageSelf, func() error {
		for _, name := range names {
			recorder.Record(name, searchName, result)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.Record(Point{Measure: "burn: one record of each search", Size: size, Per: "record", Value: c.processorMicros, Unit: "µs"})
}
