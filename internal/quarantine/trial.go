package quarantine

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

const (
	// permissionEndings is the number of endings from which on a trial needs the permission
	// of a leader. One server may have ended for any reason.
	permissionEndings = 2
	// maxTrials is the number of permitted trials after the third ending, of all hosts
	// together.
	maxTrials = 3
	// trialTimeout is the least time for which a permission holds, and trialMargin the part of
	// it in which the query has ended and the end of the trial is reported. A request that may
	// take longer gets its time, up to maxTrialTimeout: one that is cut off is not cleared.
	trialTimeout    = 2 * time.Second
	maxTrialTimeout = 30 * time.Second
	trialMargin     = 300 * time.Millisecond
	// trialSettleTime is how long no other trial is permitted after one without an answer:
	// the owner of the connection needs up to a second to find that the server has ended.
	trialSettleTime = time.Second
	// trialRetryAfter is the time after which a request that a trial holds back may come
	// again, noLeaderRetryAfter the one if no leader is in reach.
	trialRetryAfter    = 200 * time.Millisecond
	noLeaderRetryAfter = time.Second
	// askTimeout bounds a question to a leader, maxAsked the leaders that are asked for one
	// request, and leaderLostTime is how long a leader that did not answer is left out.
	askTimeout     = 150 * time.Millisecond
	maxAsked       = 3
	leaderLostTime = time.Second
	// maxTrialLeaders limits the leaders whose trials are counted in a record. maxTrials are
	// used up long before.
	maxTrialLeaders = 8
)

// Admission says how an admitted request may be sent to servers.
type Admission struct {
	// ServersEnded is the number of servers that have ended while they ran the request.
	// If it is not 0, the request must be sent to one server at a time until one answers.
	ServersEnded int
	// Timeout is the time within which the request must have ended; 0: no limit.
	Timeout time.Duration
	// Done must be called at the end of the request. ran is false if it is proved that no
	// server ran it.
	Done func(ran bool)
}

// trialCount is the number of counted trials that a leader permitted and that ran, or of
// whose end it did not hear.
type trialCount struct {
	leader string // its address for peers
	count  int
	at     time.Duration // end of the last one
}

// permission is the permission that this host, as a leader, has given for a trial.
type permission struct {
	id          uint64 // 0: none
	from, until time.Duration
	// number counts the trials that this leader permitted; 0: the trial does not count.
	number int
	// ended is set if the end of the trial was reported.
	ended bool
}

// ownTrial is a trial that this host makes or has made.
type ownTrial struct {
	asking      bool          // a question to a leader is under way
	deniedUntil time.Duration // no leader is asked before
	until       time.Duration // end of the permission; 0: no trial runs
	// from and to are the beginning and the end of the last trial; to is 0 while it runs.
	from, to time.Duration
}

// covers reports whether a run that began at a time belongs to the last trial.
func (t *ownTrial) covers(began time.Duration) bool {
	return t.from != 0 && began >= t.from && (t.to == 0 || began <= t.to)
}

// question asks a leader for permission for a trial, or reports the end of one.
type question struct {
	Record Known  `json:"record"`
	ID     uint64 `json:"id,omitempty"` // of the permission that has ended; 0: asks for one
	Ran    bool   `json:"ran,omitempty"`
	// TimeLeft is the time until the deadline of the request. It is 0 in questions of hosts of
	// earlier versions.
	TimeLeft time.Duration `json:"left,omitempty"`
}

// duration returns for how long a permission that answers the question holds.
func (q *question) duration() time.Duration {
	if q.TimeLeft >= maxTrialTimeout {
		return maxTrialTimeout
	}
	return min(max(trialTimeout, q.TimeLeft+trialMargin), maxTrialTimeout)
}

// reply is the answer of a leader.
type reply struct {
	Record Known `json:"record"`
	// Free is set if the request needs no permission, ID if a trial is permitted. Number
	// is then that of the trial among those that the leader permitted; 0: it does not count.
	Free   bool   `json:"free,omitempty"`
	ID     uint64 `json:"id,omitempty"`
	Number int    `json:"number,omitempty"`
	// UsedUp is set if the leader has permitted its share of maxTrials.
	UsedUp bool `json:"used_up,omitempty"`
}

// Admit decides about a request that is about to be sent to servers. A suspected one with
// permissionEndings waits for the answer of a leader. timeLeft is the time until the deadline of
// the request. *RefusedError means that the request must not be sent.
func (r *Registry) Admit(ctx context.Context, key wire.RequestKey, timeLeft time.Duration) (Admission, error) {
	admitted := Admission{Done: func(bool) {}}
	if key.IsZero() || r.recordCount.Load() == 0 {
		return admitted, nil
	}
	var asked *question
	var err error
	admitted.ServersEnded, asked, err = r.prepare(key)
	if err != nil || asked == nil {
		return admitted, err
	}
	asked.TimeLeft = timeLeft
	askedAt := r.options.Clock()
	// The question is for all callers of the request, so it goes on if this one leaves.
	leader, answer := r.ask(context.WithoutCancel(ctx), asked)
	return r.conclude(asked, leader, answer, askedAt)
}

// prepare returns the number of ended servers if the request may be sent without
// permission, or the question to a leader.
func (r *Registry) prepare(key wire.RequestKey) (int, *question, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	known := r.records[key]
	switch {
	case known == nil || !known.isSuspect(now):
		return 0, nil, nil
	case known.quarantinedFor(now) > 0:
		return 0, nil, r.refuse(key, known.quarantinedFor(now))
	case !known.needsPermission(now):
		return known.unexplained, nil, nil
	case known.trial.asking || now < known.trial.until || now < known.trial.deniedUntil:
		return 0, nil, r.refuse(key, trialRetryAfter)
	}
	known.trial.asking = true
	return 0, &question{Record: known.toKnown(key, now)}, nil
}

// conclude turns the answer of a leader, nil if there was none, into an admission.
func (r *Registry) conclude(asked *question, leader string, answer *reply, askedAt time.Duration) (Admission, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	key, end := asked.Record.Key, askedAt+asked.duration()
	known := r.record(key)
	known.trial.asking = false
	switch {
	case answer == nil:
		known.trial.deniedUntil = now + trialRetryAfter
		return Admission{}, r.refuse(key, noLeaderRetryAfter)
	case answer.ID != 0 && now < end-trialMargin:
		r.metrics.trials.Inc(1)
		known.trial = ownTrial{until: end, from: now}
		done := func(ran bool) { r.endTrial(key, leader, answer, now, ran) }
		return Admission{
			ServersEnded: max(1, known.unexplained), Timeout: end - trialMargin - now, Done: done,
		}, nil
	case answer.Free, !known.isSuspect(now), !known.needsPermission(now):
		return Admission{ServersEnded: known.unexplained, Done: func(bool) {}}, nil
	case known.quarantinedFor(now) > 0:
		return Admission{}, r.refuse(key, known.quarantinedFor(now))
	}
	known.trial.deniedUntil = now + trialRetryAfter
	if answer.UsedUp {
		known.trial.deniedUntil = now + noLeaderRetryAfter
		return Admission{}, r.refuse(key, Duration)
	}
	return Admission{}, r.refuse(key, trialRetryAfter)
}

// endTrial ends a trial that began at a time, counts it if it ran without an answer, and
// reports its end to the leader that permitted it.
func (r *Registry) endTrial(key wire.RequestKey, leader string, permitted *reply, from time.Duration, ran bool) {
	r.mu.Lock()
	now := r.options.Clock()
	known := r.record(key)
	if known.trial.from == from {
		known.trial.until, known.trial.to = 0, now
	}
	if ran && permitted.Number > 0 && !known.clearedSince(from) {
		r.countTrial(key, known, trialCount{leader: cmp.Or(leader, r.options.Addr), count: permitted.Number, at: now})
		r.wakeRun()
	}
	report := &question{Record: known.toKnown(key, now), ID: permitted.ID, Ran: ran}
	r.mu.Unlock()
	if leader == "" {
		r.endPermission(report)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if _, err := r.askPeer(ctx, leader, report); err != nil {
			// The permission expires.
			r.options.Logger.WithError(err).WithField("peer", leader).Debug("end of a trial not reported")
		}
	}()
}

// countTrial counts a trial of a request and quarantines it after the last one. The caller
// holds mu.
func (r *Registry) countTrial(key wire.RequestKey, known *record, trial trialCount) {
	if known.addTrials(trial) {
		known.quarantineIfTried()
		known.own = true
		r.noteChange(key, known, sourceOwn, "")
	}
}

// addTrials merges the trials of a leader, and reports whether that changed the record. The
// greatest count of each leader is kept, so that repeated news do not add up.
func (r *record) addTrials(trials trialCount) bool {
	if r.clearedSince(trials.at) {
		return false
	}
	i := slices.IndexFunc(r.trials, func(t trialCount) bool { return t.leader == trials.leader })
	switch {
	case i >= 0 && trials.count > r.trials[i].count:
		r.trials[i].count, r.trials[i].at = trials.count, max(trials.at, r.trials[i].at)
	case i < 0 && len(r.trials) < maxTrialLeaders:
		r.trials = append(r.trials, trials)
	default:
		return false
	}
	return true
}

// trialsOf returns the number of counted trials that a leader permitted.
func (r *record) trialsOf(leader string) int {
	for _, t := range r.trials {
		if t.leader == leader {
			return t.count
		}
	}
	return 0
}

// ask asks the leaders, in the order for the request, until one answers that has not
// permitted its share of the trials. It returns the address of the last leader that
// answered, "" if it is this host, and its answer; nil if none answered.
func (r *Registry) ask(ctx context.Context, asked *question) (string, *reply) {
	r.metrics.asked.Inc(1)
	var answered string
	var answer *reply
	var failure error
	for _, leader := range r.leadersToAsk(asked.Record.Key) {
		next, err := r.askLeader(ctx, leader, asked)
		if err != nil {
			failure = err
			r.noteLeaderLost(leader)
			continue
		}
		answered, answer = leader, next
		if !answer.UsedUp {
			break
		}
	}
	if answer == nil {
		r.metrics.noLeader.Inc(1)
		r.options.Logger.WithError(failure).WithField("key", asked.Record.Key.String()).Info("no leader answers for a trial")
	}
	return answered, answer
}

// askLeader asks one leader, "" for this host, and learns what it knows of the request.
func (r *Registry) askLeader(ctx context.Context, leader string, asked *question) (*reply, error) {
	if leader == "" {
		return r.permit(asked), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := r.askPeer(ctx, leader, asked)
	if err != nil {
		return nil, err
	}
	return answer, r.Learn([]Known{answer.Record})
}

// askPeer passes a question to a leader.
func (r *Registry) askPeer(ctx context.Context, leader string, asked *question) (*reply, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	text, err := r.options.Transport.Ask(ctx, leader, body)
	if err != nil {
		return nil, err
	}
	var answer reply
	if err := json.Unmarshal(text, &answer); err != nil {
		return nil, errors.WithStack(err)
	}
	if answer.Record.Key != asked.Record.Key {
		return nil, errors.WithStack(&MessageError{Problem: "answer is about another request"})
	}
	return &answer, nil
}

// rankedLeaders returns the addresses of all leaders in the order of rendezvous hashing for
// a request, which is the same on all hosts that know the same leaders.
func (r *Registry) rankedLeaders(key wire.RequestKey) []string {
	leaders := slices.Clone(r.options.Leaders())
	if r.options.Leads() {
		leaders = append(leaders, r.options.Addr)
	}
	score := func(addr string) uint64 { return xxhash.Sum64(append(key[:], addr...)) }
	slices.SortFunc(leaders, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return leaders
}

// leadersToAsk returns the leaders to ask for a request, maxAsked at most and "" for this
// host. Leaders that did not answer lately are left out.
func (r *Registry) leadersToAsk(key wire.RequestKey) []string {
	leaders := r.rankedLeaders(key)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	leaders = slices.DeleteFunc(leaders, func(addr string) bool { return now < r.lostLeaders[addr] })
	for i, addr := range leaders {
		if addr == r.options.Addr {
			leaders[i] = ""
		}
	}
	return leaders[:min(len(leaders), maxAsked)]
}

// share returns this leader's share of maxTrials for a request. The shares of all leaders
// add up to maxTrials, so that they hold without an exchange between the leaders.
func (r *Registry) share(key wire.RequestKey) int {
	leaders := r.rankedLeaders(key)
	rank := slices.Index(leaders, r.options.Addr)
	if rank < 0 {
		return 0
	}
	// (maxTrials - rank) / len(leaders), rounded up: the first leaders have one more.
	return max(0, maxTrials-rank+len(leaders)-1) / len(leaders)
}

// noteLeaderLost records that a leader did not answer.
func (r *Registry) noteLeaderLost(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	for addr, until := range r.lostLeaders {
		if now >= until {
			delete(r.lostLeaders, addr)
		}
	}
	r.lostLeaders[leader] = now + leaderLostTime
}

// permit answers a question for permission, as a leader.
func (r *Registry) permit(asked *question) *reply {
	share := r.share(asked.Record.Key)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	key := asked.Record.Key
	known := r.record(key)
	r.expirePermission(key, known, now)
	answer := &reply{}
	number := 0
	if known.quarantined || len(known.endings) >= minEndings {
		number = 1 + known.trialsOf(r.options.Addr)
	}
	switch {
	case known.quarantinedFor(now) > 0:
	case !known.isSuspect(now) || !known.needsPermission(now):
		answer.Free = true
	case now < known.permitted.until:
	case number > share:
		answer.UsedUp = true
	default:
		known.permitted = permission{id: max(1, rand.Uint64()), from: now, until: now + asked.duration(), number: number}
		answer.ID, answer.Number = known.permitted.id, number
	}
	answer.Record = known.toKnown(key, now)
	return answer
}

// expirePermission ends a permission whose time is over. If the end of the trial was not
// reported, the host that made it may have ended with it, so the trial counts here. The
// caller holds mu.
func (r *Registry) expirePermission(key wire.RequestKey, known *record, now time.Duration) {
	p := known.permitted
	if p.id == 0 || now < p.until {
		return
	}
	known.permitted = permission{}
	if p.number > 0 && !p.ended && !known.clearedSince(p.from) {
		r.countTrial(key, known, trialCount{leader: r.options.Addr, count: p.number, at: p.until})
	}
}

// endPermission records the reported end of a trial, as a leader.
func (r *Registry) endPermission(report *question) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[report.Record.Key]
	if known == nil || known.permitted.id != report.ID {
		return
	}
	known.permitted.ended, known.permitted.until = true, 0
	if report.Ran && !report.Record.Cleared {
		known.permitted.until = r.options.Clock() + trialSettleTime
	}
}

// AnswerQuestion answers the question of another host for a trial. *NotLeaderError means
// that this host leads no data centre; *MessageError reports a malformed question.
func (r *Registry) AnswerQuestion(body []byte) ([]byte, error) {
	var asked question
	if err := json.Unmarshal(body, &asked); err != nil {
		return nil, errors.WithStack(&MessageError{Problem: "question is not JSON: " + err.Error()})
	}
	if err := r.Learn([]Known{asked.Record}); err != nil {
		return nil, err
	}
	var answer *reply
	switch {
	case asked.ID != 0:
		r.endPermission(&asked)
		answer = &reply{Record: asked.Record}
	case !r.options.Leads():
		return nil, errors.WithStack(&NotLeaderError{})
	default:
		answer = r.permit(&asked)
	}
	text, err := json.Marshal(answer)
	return text, errors.WithStack(err)
}
