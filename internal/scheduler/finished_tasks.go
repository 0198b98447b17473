package scheduler

import (
	"iter"

	"drumpick/internal/finishedtasks"
)

// finishedTaskLayout returns how a job's finished tasks are divided into chunks and parts.
func (s *Settings) finishedTaskLayout() finishedtasks.Layout {
	return finishedtasks.Layout{ChunkTasks: s.ChunkTasks, PartTasks: s.PartTasks}
}

// partOf returns the index of the part of a job's finished tasks that contains a task.
func (s *Scheduler) partOf(task int) int { return s.settings.finishedTaskLayout().Part(task) }

// openJobs adapts the scheduler's open jobs to finishedtasks.Jobs.
type openJobs struct{ scheduler *Scheduler }

// OpenJob returns the open job with an id, and whether there is one.
func (o openJobs) OpenJob(id string) (finishedtasks.Job, bool) {
	j := o.scheduler.jobs[id]
	return openJob{j}, j != nil
}

// OpenJobs returns all open jobs.
func (o openJobs) OpenJobs() iter.Seq[finishedtasks.Job] {
	return func(yield func(finishedtasks.Job) bool) {
		for _, j := range o.scheduler.jobs {
			if !yield(openJob{j}) {
				return
			}
		}
	}
}

// openJob adapts an open job to finishedtasks.Job.
type openJob struct{ job *Job }

// JobID returns the id of the job.
func (o openJob) JobID() string { return o.job.ID }

// TaskCount returns the number of tasks of the job.
func (o openJob) TaskCount() int { return o.job.Tasks }

// IsDone reports whether a task is finished.
func (o openJob) IsDone(task int) bool { return o.job.done.has(task) }

// MarkStored records that the result of a finished task is stored.
func (o openJob) MarkStored(task int) { o.job.stored.add(task) }

// DirtyParts returns the set of the job's parts, by index, whose records have to be written.
func (o openJob) DirtyParts() map[int]bool { return o.job.dirtyParts }
