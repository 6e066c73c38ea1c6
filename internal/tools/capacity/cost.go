package main

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// Values of the argument who of getrusage(2).
	rusageSelf   = 0 // all threads of this process
	rusageThread = 1 // the calling thread
	// minProcessorTime is the processor time for which measureCost repeats a call.
	minProcessorTime = 400 * time.Millisecond
)

// cost is the average cost of one call of a function.
type cost struct {
	processorMicros float64 // processor time in microseconds
	allocs          float64 // allocated heap objects
}

// processorTime returns the user and system time used so far by the process
// (rusageSelf) or the calling thread (rusageThread), or 0 when getrusage fails.
func processorTime(who int) time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(who, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCost calls f once unmeasured and then repeatedly, until the process or
// thread has used minProcessorTime. It returns the first error of f. Processor
// time depends less than elapsed time on what else runs on the computer.
func measureCost(who int, f func() error) (cost, error) {
	if err := f(); err != nil {
		return cost{}, err
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin, calls := processorTime(who), 0
	used := time.Duration(0)
	for used < minProcessorTime {
		if err := f(); err != nil {
			return cost{}, err
		}
		calls++
		used = processorTime(who) - begin
	}
	runtime.ReadMemStats(&after)
	n := float64(calls)
	return cost{
		processorMicros: float64(used) / float64(time.Microsecond) / n,
		allocs:          float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

// liveMemory returns the bytes of live heap objects and of goroutine stacks after
// two garbage collections.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// liveMemoryWith returns liveMemory while the given values stay reachable, so
// that their memory is counted.
func liveMemoryWith(kept ...any) float64 {
	used := liveMemory()
	runtime.KeepAlive(kept)
	return used
}

// recordCost records processor time and allocations as two measures whose names
// begin with prefix.
func recordCost(r Recorder, prefix, per string, size int, c cost) error {
	if err := r.Record(Point{Measure: prefix + " processor time", Size: float64(size), Per: per, Value: c.processorMicros, Unit: "µs"}); err != nil {
		return err
	}
	return r.Record(Point{Measure: prefix + " allocations", Size: float64(size), Per: per, Value: c.allocs, Unit: "objects"})
}
