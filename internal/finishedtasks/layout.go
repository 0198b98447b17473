package finishedtasks

// Layout defines how the tasks of a job are divided into records. The tasks are divided into chunks,
// for which earlier versions write one record each. Each chunk is divided into parts with one record
// each.
type Layout struct {
	ChunkTasks int // tasks per chunk
	PartTasks  int // tasks per part
}

// PartsPerChunk returns the number of parts of a chunk.
func (l Layout) PartsPerChunk() int { return (l.ChunkTasks + l.PartTasks - 1) / l.PartTasks }

// Part returns the number of a task's part, counted over all chunks of the job.
func (l Layout) Part(task int) int {
	return task/l.ChunkTasks*l.PartsPerChunk() + task%l.ChunkTasks/l.PartTasks
}

// chunk returns the chunk of a part.
func (l Layout) chunk(part int) int { return part / l.PartsPerChunk() }

// span returns the chunk of a part and the half-open range [from, to) of the part within the chunk,
// for a job with the given number of tasks.
func (l Layout) span(part, tasks int) (chunk, from, to int) {
	chunk = l.chunk(part)
	from = part % l.PartsPerChunk() * l.PartTasks
	return chunk, from, min(from+l.PartTasks, l.ChunkTasks, tasks-chunk*l.ChunkTasks)
}
