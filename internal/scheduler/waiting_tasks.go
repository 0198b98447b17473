package scheduler

import "math/bits"

// waitingTasks is the queue of a job's tasks that are to be started: first those to be tried again,
// then those never tried, in order.
type waitingTasks struct {
	nextUntried         int      // tasks from here on were never tried
	untriedHaveAttempts bool     // some of these have an attempt all the same, adopted after a failover
	retries             []int    // tasks to be tried again
	inRetries           []uint64 // bit set of what retries contains
}

// appendRetry appends a task to those to be tried again. A task is listed once: it can be given back
// twice when it had a second attempt.
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

// dequeueTask removes the next task from the queue, as it is being started.
func (w *waitingTasks) dequeueTask(task int) {
	if len(w.retries) > 0 && w.retries[0] == task {
		w.popRetry()
	} else if task == w.nextUntried {
		w.nextUntried++
	}
}

// queueRetry lists a task to be tried again. An uncertain task is not listed: it joins the list when
// it no longer is uncertain.
func (j *Job) queueRetry(task int) {
	if !j.isUncertain(task) {
		j.appendRetry(task)
	}
}

// pending counts the tasks that are neither done nor have an attempt.
func (j *Job) pending() int {
	n := len(j.retries) + j.countUncertain()
	for i := j.nextUntried; i < j.Tasks; {
		// Whole words of untouched tasks count at once.
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
	// Tasks from nextUntried on that have an attempt, adopted after a failover.
	for t := range j.attempts {
		if (t >= j.nextUntried || j.isUncertain(t)) && !hasBit(j.done, t) {
			n--
		}
	}
	return max(n, 0)
}

// nextTask returns the next task to start, or -1. A task with any attempt on any machine is passed
// over: it is tried again when that attempt is gone.
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

// hasNoQueuedTasks reports whether no task of the job waits to be started, now or once other attempts of
// it are gone.
func (j *Job) hasNoQueuedTasks() bool { return len(j.retries) == 0 && j.nextUntried >= j.Tasks }

// retryTask puts a task back into the queue.
func (s *Scheduler) retryTask(j *Job, t int) {
	j.queueRetry(t)
	s.order.activate(j)
}
