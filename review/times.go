package review

import (
	"slices"
	"time"
)

// SortTimes sorts times, earliest first.
func SortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
