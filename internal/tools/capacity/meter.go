package main

import (
	"runtime"
	"syscall"
	"time"
)

const (
	thisProcess = 0 // RUSAGE_SELF
	thisThread  = 1 // RUSAGE_THREAD
	// leastCPU is the processor time after which a cost is taken as measured.
	leastCPU = 400 * time.Millisecond
)

// cost is what one call of a function takes.
type cost struct {
	micros float64 // processor time, in microseconds
	allocs float64
}

func processorTime(who int) time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(who, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCost calls f until it has used leastCPU. Processor time depends less
// than elapsed time on what else the machine runs.
func measureCost(who int, f func() error) (cost, error) {
	if err := f(); err != nil {
		return cost{}, err
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin, calls := processorTime(who), 0
	used := time.Duration(0)
	for used < leastCPU {
		if err := f(); err != nil {
			return cost{}, err
		}
		calls++
		used = processorTime(who) - begin
	}
	runtime.ReadMemStats(&after)
	n := float64(calls)
	return cost{
		micros: float64(used) / float64(time.Microsecond) / n,
		allocs: float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

// memory returns the bytes of live objects and stacks after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// memoryWith is memory while values that were there before stay in use.
func memoryWith(kept ...any) float64 {
	used := memory()
	runtime.KeepAlive(kept)
	return used
}

// recordCost stores processor time and allocations under one prefix.
func recordCost(r Recorder, prefix, per string, size int, c cost) error {
	if err := r.Record(Point{Measure: prefix + " processor time", Size: float64(size), Per: per, Value: c.micros, Unit: "µs"}); err != nil {
		return err
	}
	return r.Record(Point{Measure: prefix + " allocations", Size: float64(size), Per: per, Value: c.allocs, Unit: "objects"})
}
