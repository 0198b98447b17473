package scheduler

import "math/bits"

// waitingTasks is the queue of a job's tasks to start: first the tasks to retry, then the untried
// ones, in order.
type waitingTasks struct {
	nextUntried         int      // tasks from this number on are queued unless they are done or have an attempt
	untriedHaveAttempts bool     // some tasks from nextUntried on may have an attempt, adopted after a failover
	retries             []int    // tasks to retry
	inRetries           []uint64 // bit set of the tasks in retries
}

// appendRetry appends a task to the retries unless they already contain the task: one with a duplicate
// attempt can be returned to the queue twice.
func (w *waitingTasks) appendRetry(task int) {
	if !hasBit(w.inRetries, task) {
		w.inRetries[task/64] |= 1 << (task % 64)
		w.retries = append(w.retries, task)
	}
}

func (w *waitingTasks) popRetry() {
	task := w.retries[0]
	w.inRetries[task/64] &^= 1 << (task % 64)
	w.retries = w.retries[1:]
}

// dequeueTask removes a task that is being started from the queue if it is the next retry or the next
// untried task.
func (w *waitingTasks) dequeueTask(task int) {
	if len(w.retries) > 0 && w.retries[0] == task {
		w.popRetry()
	} else if task == w.nextUntried {
		w.nextUntried++
	}
}

// queueRetry adds a task to the retries unless the task is uncertain: clearUncertain queues it later.
func (j *Job) queueRetry(task int) {
	if !j.isUncertain(task) {
		j.appendRetry(task)
	}
}

// pending returns the number of tasks that wait to be started: neither done nor with a current
// attempt, including uncertain tasks.
func (j *Job) pending() int {
	n := len(j.retries) + j.countUncertain()
	for i := j.nextUntried; i < j.Tasks; {
		// Count whole words of the bit set at once.
		if i%64 == 0 && i+64 <= j.Tasks {
			n += 64 - bits.OnesCount64(j.done[i/64])
			i += 64
			continue
		}
		if !hasBit(j.done, i) {
			n++
		}
		i++
	}
	if !j.untriedHaveAttempts {
		return n
	}
	// Subtract tasks that have an attempt adopted after a failover.
	for t := range j.attempts {
		if (t >= j.nextUntried || j.isUncertain(t)) && !hasBit(j.done, t) {
			n--
		}
	}
	return max(n, 0)
}

// nextTask returns the next task to start, or -1 if there is none. A task with any attempt, also a
// duplicate, is not started until that attempt is gone. While a duplicate delays the first retry, the
// untried tasks come first.
func (j *Job) nextTask() int {
	for len(j.retries) > 0 {
		t := j.retries[0]
		if hasBit(j.done, t) || j.attempts[t] != nil {
			j.popRetry()
			continue
		}
		if j.duplicates[t] > 0 {
			break
		}
		return t
	}
	for j.nextUntried < j.Tasks {
		if hasBit(j.done, j.nextUntried) || j.attempts[j.nextUntried] != nil {
			j.nextUntried++
			continue
		}
		if j.duplicates[j.nextUntried] > 0 {
			j.queueRetry(j.nextUntried)
			j.nextUntried++
			continue
		}
		return j.nextUntried
	}
	return -1
}

// hasNoQueuedTasks reports whether the job's queue is empty. The queue also contains tasks that wait
// until a duplicate attempt is gone, but no uncertain tasks.
func (j *Job) hasNoQueuedTasks() bool { return len(j.retries) == 0 && j.nextUntried >= j.Tasks }

// retryTask returns a task to its job's queue and activates the job's turns in the placement order.
func (s *Scheduler) retryTask(j *Job, t int) {
	j.queueRetry(t)
	s.order.activate(j)
}
