package finishedtasks

// Layout is how the finished tasks of a job are divided into records: into chunks, as earlier versions
// write them, and these into parts, each of which has a record of its own.
type Layout struct {
	ChunkTasks int // tasks of a chunk
	PartTasks  int // tasks of a part
}

// PartsPerChunk is how many parts a chunk has.
func (l Layout) PartsPerChunk() int { return (l.ChunkTasks + l.PartTasks - 1) / l.PartTasks }

// Part is the part that a task belongs to.
func (l Layout) Part(task int) int {
	return task/l.ChunkTasks*l.PartsPerChunk() + task%l.ChunkTasks/l.PartTasks
}

// chunk is the chunk that a part belongs to.
func (l Layout) chunk(part int) int { return part / l.PartsPerChunk() }

// span returns the chunk of a part, and where in it the part begins and ends, for a job of so many
// tasks.
func (l Layout) span(part, tasks int) (chunk, from, to int) {
	chunk = l.chunk(part)
	from = part % l.PartsPerChunk() * l.PartTasks
	return chunk, from, min(from+l.PartTasks, l.ChunkTasks, tasks-chunk*l.ChunkTasks)
}
