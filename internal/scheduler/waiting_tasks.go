package scheduler

// waitingTasks is the queue of a job's tasks to start: first the tasks to retry, then the untried
// ones, in order.
type waitingTasks struct {
	nextUntried         int  // tasks from this number on are queued unless they are done or have an attempt
	untriedHaveAttempts bool // some tasks from nextUntried on may have an attempt, adopted after a failover
	retries             retryQueue
}

// retryQueue is a queue of tasks to retry. Tasks that follow each other by number are kept as one range,
// because after a failover all tasks of a job may have to be retried.
type retryQueue struct {
	ranges []taskRange
	count  int     // number of tasks
	queued taskSet // the same tasks
}

// taskRange is the tasks from first up to but not including end.
type taskRange struct{ first, end int }

// push appends a task unless the queue already contains it: one with a duplicate attempt can be returned
// to the queue twice.
func (q *retryQueue) push(task int) {
	if q.queued.has(task) {
		return
	}
	q.queued.add(task)
	q.count++
	if last := len(q.ranges) - 1; last >= 0 && q.ranges[last].end == task {
		q.ranges[last].end++
		return
	}
	q.ranges = append(q.ranges, taskRange{task, task + 1})
}

// first returns the first task. The queue must not be empty.
func (q *retryQueue) first() int { return q.ranges[0].first }

// pop removes the first task.
func (q *retryQueue) pop() {
	head := &q.ranges[0]
	q.queued.remove(head.first)
	q.count--
	if head.first++; head.first == head.end {
		q.ranges = q.ranges[1:]
	}
}

// dequeueTask removes a task that is being started from the queue if it is the next retry or the next
// untried task.
func (w *waitingTasks) dequeueTask(task int) {
	if w.retries.count > 0 && w.retries.first() == task {
		w.retries.pop()
	} else if task == w.nextUntried {
		w.nextUntried++
	}
}

// queueRetry adds a task to the retries unless the task is uncertain: clearUncertain queues it later.
func (j *Job) queueRetry(task int) {
	if !j.isUncertain(task) {
		j.retries.push(task)
	}
}

// pending returns the number of tasks that wait to be started: neither done nor with a current
// attempt, including uncertain tasks.
func (j *Job) pending() int {
	n := j.retries.count + j.countUncertain()
	n += j.Tasks - j.nextUntried - countUnion(j.done, nil, j.nextUntried, j.Tasks)
	if !j.untriedHaveAttempts {
		return n
	}
	// Subtract tasks that have an attempt adopted after a failover.
	for t := range j.attempts {
		if (t >= j.nextUntried || j.isUncertain(t)) && !j.done.has(t) {
			n--
		}
	}
	return max(n, 0)
}

// nextTask returns the next task to start, or -1 if there is none. A task with any attempt, also a
// duplicate, is not started until that attempt is gone. While a duplicate delays the first retry, the
// untried tasks come first.
func (j *Job) nextTask() int {
	for j.retries.count > 0 {
		t := j.retries.first()
		if j.done.has(t) || j.attempts[t] != nil {
			j.retries.pop()
			continue
		}
		if j.duplicates[t] > 0 {
			break
		}
		return t
	}
	for j.nextUntried < j.Tasks {
		if j.done.has(j.nextUntried) || j.attempts[j.nextUntried] != nil {
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
func (j *Job) hasNoQueuedTasks() bool { return j.retries.count == 0 && j.nextUntried >= j.Tasks }

// retryTask returns a task to its job's queue and activates the job's turns in the placement order.
func (s *Scheduler) retryTask(j *Job, t int) {
	j.queueRetry(t)
	s.order.activate(j)
}
