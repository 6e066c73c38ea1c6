package main

import (
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/burn"
	"github.com/arbutusgauge/arbutusgauge/internal/once"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	ticketCall  = 1000 // tickets issued in one call
	answerBytes = 512
)

var (
	ticketCounts = []int{1_000, 10_000, 50_000}
	searchCounts = []int{10, 100, 500}
)

func measureOnce(r Recorder, _ *Options) error {
	for _, count := range ticketCounts {
		if err := measureTickets(r, count); err != nil {
			return err
		}
	}
	return nil
}

func measureTickets(r Recorder, count int) error {
	before := memory()
	registry, err := once.New(once.Options{DataCentre: dataCentre(0), Addr: "127.0.0.1:7000", Incarnation: 1})
	if err != nil {
		return err
	}
	begin := processorTime(thisProcess)
	request := once.HashRequest(serviceName(0), searchName, nil)
	for range count / ticketCall {
		tickets, err := registry.Issue(ticketCall)
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
	used := float64((processorTime(thisProcess) - begin).Nanoseconds()) / float64(time.Microsecond)
	size := float64(count)
	if err := r.Record(Point{
		Measure: "once: memory of used tickets with answers of 512 B", Size: size, Per: "ticket", Value: memoryWith(registry) - before, Unit: "B",
	}); err != nil {
		return err
	}
	return r.Record(Point{
		Measure: "once: tickets issued, begun and finished", Size: size, Per: "ticket", Value: used, Unit: "µs",
	})
}

func measureBurn(r Recorder, _ *Options) error {
	for _, count := range searchCounts {
		if err := measureSearches(r, count); err != nil {
			return err
		}
	}
	return nil
}

func measureSearches(r Recorder, count int) error {
	before := memory()
	recorder, err := burn.New(burn.Options{Host: "host-0", DataCentre: dataCentre(0)})
	if err != nil {
		return err
	}
	result := burn.Result{
		Outcome: wire.Answered, Latency: time.Millisecond, Coverage: 1, Objective: search(0).Objective,
	}
	names := make([]string, count)
	for i := range names {
		names[i] = serviceName(i)
		recorder.Record(names[i], searchName, result)
	}
	size := float64(count)
	if err := r.Record(Point{
		Measure: "burn: memory of searches", Size: size, Per: "search", Value: memoryWith(recorder, names) - before, Unit: "B",
	}); err != nil {
		return err
	}
	c, err := measureCost(thisProcess, func() error {
		for _, name := range names {
			recorder.Record(name, searchName, result)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.Record(Point{Measure: "burn: one record of each search", Size: size, Per: "record", Value: c.micros, Unit: "µs"})
}
