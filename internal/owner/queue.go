package owner

import "time"

// deadlineQueue is a binary heap of attempts, earliest deadline first. Each
// attempt holds its index, so that a cancelled one is removed without a search.
type deadlineQueue []*attempt

func (q deadlineQueue) earliestDeadline() time.Time { return q[0].deadline }

func (q *deadlineQueue) push(a *attempt) {
	a.queueIndex = len(*q)
	*q = append(*q, a)
	q.siftUp(a.queueIndex)
}

func (q *deadlineQueue) pop() *attempt { return q.remove(0) }

func (q *deadlineQueue) remove(index int) *attempt {
	old := *q
	last := len(old) - 1
	removed := old[index]
	old[index] = old[last]
	old[index].queueIndex = index
	old[last] = nil
	*q = old[:last]
	if index < last {
		q.siftDown(index)
		q.siftUp(index)
	}
	removed.queueIndex = notQueued
	return removed
}

func (q deadlineQueue) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !q[index].deadline.Before(q[parent].deadline) {
			return
		}
		q.swap(index, parent)
		index = parent
	}
}

func (q deadlineQueue) siftDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(q) {
			return
		}
		if right := child + 1; right < len(q) && q[right].deadline.Before(q[child].deadline) {
			child = right
		}
		if !q[child].deadline.Before(q[index].deadline) {
			return
		}
		q.swap(index, child)
		index = child
	}
}

func (q deadlineQueue) swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}
