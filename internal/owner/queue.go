package owner

import "time"

// deadlineQueue is a binary heap of attempts, earliest deadline first. Each
// attempt knows its place, so that a cancelled one is removed directly.
type deadlineQueue []*attempt

func (q deadlineQueue) earliest() time.Time { return q[0].deadline }

func (q *deadlineQueue) push(a *attempt) {
	a.place = len(*q)
	*q = append(*q, a)
	q.up(a.place)
}

func (q *deadlineQueue) pop() *attempt { return q.remove(0) }

func (q *deadlineQueue) remove(at int) *attempt {
	old := *q
	last := len(old) - 1
	taken := old[at]
	old[at] = old[last]
	old[at].place = at
	old[last] = nil
	*q = old[:last]
	if at < last {
		q.down(at)
		q.up(at)
	}
	taken.place = notQueued
	return taken
}

func (q deadlineQueue) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !q[at].deadline.Before(q[parent].deadline) {
			return
		}
		q.swap(at, parent)
		at = parent
	}
}

func (q deadlineQueue) down(at int) {
	for {
		child := 2*at + 1
		if child >= len(q) {
			return
		}
		if right := child + 1; right < len(q) && q[right].deadline.Before(q[child].deadline) {
			child = right
		}
		if !q[child].deadline.Before(q[at].deadline) {
			return
		}
		q.swap(at, child)
		at = child
	}
}

func (q deadlineQueue) swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}
