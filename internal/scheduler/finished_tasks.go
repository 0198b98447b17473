package scheduler

import (
	"iter"

	"drumpick/internal/finishedtasks"
)

// finishedTaskLayout is how finished tasks are divided into records.
func (s *Settings) finishedTaskLayout() finishedtasks.Layout {
	return finishedtasks.Layout{ChunkTasks: s.ChunkTasks, PartTasks: s.PartTasks}
}

// part is the part of a job's finished tasks that a task belongs to.
func (s *Scheduler) part(task int) int { return s.settings.finishedTaskLayout().Part(task) }

// finishedJobs are the open jobs as the keeper of finished tasks sees them.
type finishedJobs struct{ scheduler *Scheduler }

// OpenJob returns an open job, and whether there is one of that id.
func (f finishedJobs) OpenJob(id string) (finishedtasks.Job, bool) {
	j := f.scheduler.jobs[id]
	return finishedJob{j}, j != nil
}

// OpenJobs returns all open jobs.
func (f finishedJobs) OpenJobs() iter.Seq[finishedtasks.Job] {
	return func(yield func(finishedtasks.Job) bool) {
		for _, j := range f.scheduler.jobs {
			if !yield(finishedJob{j}) {
				return
			}
		}
	}
}

// finishedJob is an open job as the keeper of finished tasks sees it.
type finishedJob struct{ job *Job }

// JobID is the id of the job.
func (f finishedJob) JobID() string { return f.job.ID }

// TaskCount is how many tasks the job has.
func (f finishedJob) TaskCount() int { return f.job.Tasks }

// DoneTasks is the bit set of finished tasks.
func (f finishedJob) DoneTasks() []uint64 { return f.job.done }

// StoredTasks is the bit set of finished tasks that the store has.
func (f finishedJob) StoredTasks() []uint64 { return f.job.stored }

// DirtyParts is the set of parts whose records are to be written.
func (f finishedJob) DirtyParts() map[int]bool { return f.job.dirtyParts }
