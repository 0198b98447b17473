package scheduler

import (
	"iter"

	"drumpick/internal/finishedtasks"
)

// finishedTaskLayout is how finished tasks are divided into records.
func (s *Settings) finishedTaskLayout() finishedtasks.Layout {
	return finishedtasks.Layout{ChunkTasks: s.ChunkTasks, PartTasks: s.PartTasks}
}

// partOf is the part of a job's finished tasks that a task belongs to.
func (s *Scheduler) partOf(task int) int { return s.settings.finishedTaskLayout().Part(task) }

// openJobs are the open jobs as the keeper of finished tasks sees them.
type openJobs struct{ scheduler *Scheduler }

// OpenJob returns an open job, and whether there is one of that id.
func (f openJobs) OpenJob(id string) (finishedtasks.Job, bool) {
	j := f.scheduler.jobs[id]
	return openJob{j}, j != nil
}

// OpenJobs returns all open jobs.
func (f openJobs) OpenJobs() iter.Seq[finishedtasks.Job] {
	return func(yield func(finishedtasks.Job) bool) {
		for _, j := range f.scheduler.jobs {
			if !yield(openJob{j}) {
				return
			}
		}
	}
}

// openJob is an open job as the keeper of finished tasks sees it.
type openJob struct{ job *Job }

// JobID is the id of the job.
func (f openJob) JobID() string { return f.job.ID }

// TaskCount is how many tasks the job has.
func (f openJob) TaskCount() int { return f.job.Tasks }

// DoneTasks is the bit set of finished tasks.
func (f openJob) DoneTasks() []uint64 { return f.job.done }

// StoredTasks is the bit set of finished tasks that the store has.
func (f openJob) StoredTasks() []uint64 { return f.job.stored }

// DirtyParts is the set of parts whose records are to be written.
func (f openJob) DirtyParts() map[int]bool { return f.job.dirtyParts }
