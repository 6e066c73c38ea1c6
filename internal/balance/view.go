// Package balance decides which replica of a shard a request is sent to. It keeps what a
// host knows of the load that replicas state, and weighs candidates whose load the host
// knows only from old reports, which other hosts hold as well. It does no I/O.
package balance

import (
	"math"
	"time"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// reportHalfLife is the time in which what a report says beyond the mean of the
	// reports loses half of its weight: queues of a few requests last some 10 to 30 ms.
	reportHalfLife = 20 * time.Millisecond
	// slownessHalfLife is the same for the stated slowness. Other programs slow a
	// machine by turns of about 0.4 s.
	slownessHalfLife = 200 * time.Millisecond
	// meanHalfLife is the age at which a report has half of its weight in the means, and
	// the age of the newest report at which the means themselves have half of theirs.
	meanHalfLife = time.Second
	// reportMaxAge is the age above which nothing that a replica stated is used.
	reportMaxAge = 5 * time.Second
	// maxWait bounds the estimates, so that a replica that states millions of requests has one.
	maxWait = time.Minute
	// assumedServiceTime is the time of work assumed before the first answer.
	assumedServiceTime = 20 * time.Millisecond
	// serviceTimeHalfLife is the time without an answer in which the known time of work
	// halves until it is at most assumedServiceTime, so that a replica that was slow without
	// stating it is tried again.
	serviceTimeHalfLife = 2 * time.Second
	// minServiceTime is the least time of work: from 0 on, maxAnswerFactor would allow no growth.
	minServiceTime = 100 * time.Microsecond
	// serviceDivisor is the inverse weight of an answer in the known time of work, and
	// maxAnswerFactor the greatest factor by which one answer counts above it. Of a replica that
	// states its slowness, neither a slow turn nor a pause belongs to the usual time.
	serviceDivisor  = 8
	maxAnswerFactor = 2
	// uncertaintyShare is the share of the standard deviation of the unseen requests that
	// Estimate returns as uncertainty. Twice of it or more sends more requests far away,
	// without a gain (docs/design/even-load.md).
	uncertaintyShare = 0.125
)

// View is what a host knows of one replica by the load that it states and the time that its
// answers take. The zero value knows nothing. It is not safe for concurrent use.
type View struct {
	at       time.Time // of the newest report
	newest   wire.StatedLoad
	others   faded // requests of other hosts
	slowness faded // factor on the usual time of work, less 1
	slots    int
	// excludesOwn is set once an answer stated nothing running: such a replica does not
	// count the request that it answers.
	excludesOwn bool

	service   time.Duration // usual time from sending a request to its answer without others
	serviceAt time.Time
}

// faded is a figure of the reports: the newest one, and the mean that it fades to.
type faded struct{ last, mean float64 }

// add records the figure of a new report that comes after a time.
func (f *faded) add(value float64, after time.Duration, first bool) {
	if first {
		f.mean = value
	} else {
		f.mean += (value - f.mean) * (1 - halved(after, meanHalfLife))
	}
	f.last = value
}

// at returns the expected figure at an age of the newest report. The mean stands for what
// happens unseen; it fades to 0, which is all that the host knows itself.
func (f *faded) at(age, halfLife time.Duration) float64 {
	return (f.mean + (f.last-f.mean)*halved(age, halfLife)) * halved(age, meanHalfLife)
}

// halved returns the weight that is left at an age.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// Report records the load that a response states. inFlight is the number of this host's
// requests that the replica still has, without the answered one; answered says whether the
// response answers or refuses a request, and not a health check. A load that is not stated
// changes nothing.
func (v *View) Report(load wire.StatedLoad, inFlight int, answered bool, now time.Time) {
	if !load.Stated() {
		return
	}
	total := float64(load.Running) + float64(load.Waiting)
	if answered && load.Running == 0 {
		v.excludesOwn = true
	}
	if answered && !v.excludesOwn {
		total--
	}
	slowness := uint32(wire.UsualSlowness)
	if load.Slowness > 0 {
		slowness = load.Slowness
	}
	after, first := now.Sub(v.at), !v.Known(now)
	v.others.add(max(0, total-float64(inFlight)), after, first)
	v.slowness.add(float64(slowness)/wire.UsualSlowness-1, after, first)
	v.at, v.newest, v.slots = now, load, int(load.Slots)
}

// Answer records the time from sending a request to its answer. Call it after Report with
// the load that the answer states. A pause or a queue in the time counts as at most
// maxAnswerFactor times the known time, so that one pause doesn't make a replica look slow.
func (v *View) Answer(took time.Duration, now time.Time) {
	usual := max(minServiceTime, time.Duration(float64(took)/v.Slowness(now)))
	if v.serviceAt.IsZero() {
		v.service = usual
	} else {
		v.service += (min(usual, maxAnswerFactor*v.service) - v.service) / serviceDivisor
	}
	v.serviceAt = now
}

// sampleLimit is the greatest factor by which a single latency counts above the mean.
const sampleLimit = 3

// Limit returns a latency for use in a running mean: at most sampleLimit times the mean.
// A pause of a replica, of 100 to 150 ms every few seconds, says nothing of the time that its
// work takes; a replica that stays slow raises the mean by half with each of its answers.
func Limit(took, mean time.Duration) time.Duration { return min(took, sampleLimit*mean) }

// Known reports whether the replica has stated a load recently enough to be used.
func (v *View) Known(now time.Time) bool { return !v.at.IsZero() && now.Sub(v.at) <= reportMaxAge }

// States reports whether the replica has ever stated a load.
func (v *View) States() bool { return !v.at.IsZero() }

// Stated returns the newest report as the replica stated it.
func (v *View) Stated() wire.StatedLoad { return v.newest }

// Age returns the time since the newest report, 0 if there is none.
func (v *View) Age(now time.Time) time.Duration {
	if v.at.IsZero() {
		return 0
	}
	return max(0, now.Sub(v.at))
}

// Others returns the expected number of requests of other hosts that the replica has now.
func (v *View) Others(now time.Time) float64 {
	if !v.Known(now) {
		return 0
	}
	return v.others.at(now.Sub(v.at), reportHalfLife)
}

// Slowness returns the expected factor on the usual time of work, 1 if nothing is known.
func (v *View) Slowness(now time.Time) float64 {
	if !v.Known(now) {
		return 1
	}
	return 1 + v.slowness.at(now.Sub(v.at), slownessHalfLife)
}

// Service returns the usual time from sending a request to the answer of an idle replica.
func (v *View) Service(now time.Time) time.Duration {
	if v.serviceAt.IsZero() {
		return assumedServiceTime
	}
	service := v.service
	for age := now.Sub(v.serviceAt); age > serviceTimeHalfLife && service > assumedServiceTime; age -= serviceTimeHalfLife {
		service /= 2
	}
	return service
}

// Estimate returns the expected time until the replica answers one more request, and the
// uncertainty for Choose. own is the number of this host's requests that it has or that wait for
// it at this host; slots is used if the replica states none. A replica that has not answered
// yet, as one that has just started, gets one request at once and no further one until then.
func (v *View) Estimate(own, slots int, now time.Time) (wait, uncertainty time.Duration) {
	if v.serviceAt.IsZero() && own == 0 {
		return 0, 0
	}
	var others, unseen float64
	if v.Known(now) {
		slots = v.slots
		others = v.Others(now)
		unseen = others * (1 - halved(now.Sub(v.at), reportHalfLife))
	}
	service := float64(v.Service(now)) * v.Slowness(now)
	use := (float64(own) + others) / float64(max(1, slots))
	// Below full use a request rarely waits, so that the queue grows with the square of the use.
	wait = time.Duration(min(float64(maxWait), service*(1+use*min(1, use))))
	return wait, time.Duration(min(float64(maxWait), uncertaintyShare*math.Sqrt(unseen)*service/float64(max(1, slots))))
}
