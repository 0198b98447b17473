package finishedtasks

import "testing"

// Every task is within the span of its part. Otherwise the task could be missing from the record of
// its part and run again after a failover.
func TestTasksAreInTheSpanOfTheirPart(t *testing.T) {
	for _, l := range []Layout{{2048, 2048}, {2048, 614}, {100, 7}} {
		const tasks = 5000
		for task := range tasks {
			part := l.Part(task)
			chunk, from, to := l.span(part, tasks)
			if i := task - chunk*l.ChunkTasks; i < from || i >= to {
				t.Fatalf("%+v: task %d is in part %d, which spans %d to %d of chunk %d", l, task, part, from, to, chunk)
			}
		}
	}
}
