package fleet

import (
	"strconv"
	"strings"
)

// TaskID identifies a task: task number N of a job.
type TaskID struct {
	Job string // id of the job
	N   int    // from 0
}

// String returns the text form that ParseTask parses.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.N) }

// maxTaskIDBytes bounds the text form of a task id. Those of accepted jobs are shorter. Without it, a kill
// command for a task that a worker reports could exceed the size of a message.
const maxTaskIDBytes = 200

// ParseTask parses the text form of a task id, such as "j-000412/3".
func ParseTask(s string) (TaskID, bool) {
	job, n, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(n)
	if !ok || err != nil || i < 0 || job == "" || len(s) > maxTaskIDBytes {
		return TaskID{}, false
	}
	return TaskID{Job: job, N: i}, true
}
