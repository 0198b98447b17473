package fleet

import (
	"math"

	"drumpick/internal/messagesize"
	"drumpick/internal/packing"
	"drumpick/internal/records"

	"github.com/mailru/easyjson"
)

const (
	// statusEnvelopeBytes is the part of a worker's status that is left for what is no task: names,
	// addresses and numbers.
	statusEnvelopeBytes = 1 << 10
	// maxTaskStatusBytes is the part of a worker's status that its tasks may take. A worker cannot send a
	// larger status: its lease would expire and its tasks be lost, again and again.
	maxTaskStatusBytes = messagesize.Max - statusEnvelopeBytes
	// commandEnvelopeBytes is the part of a message with commands that is left for what is no command.
	commandEnvelopeBytes = 1 << 10
	// maxCommandBytes is the part of a message with commands that the commands may take.
	maxCommandBytes = messagesize.Max - commandEnvelopeBytes
)

// Capacity returns the resources of a machine of a type.
func Capacity(t *records.MachineType) packing.Resources {
	return packing.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemGB, StatusBytes: maxTaskStatusBytes}
}

// Request returns the resources that each task of a job takes of its machine. maxAttempt is the highest
// number that its attempts may have.
func Request(job *records.Job, maxAttempt uint64) packing.Resources {
	cause := CauseStopped // the longest cause, but for gangs
	if job.Shape == records.ShapeGang {
		cause = CauseGangPeerLost
	}
	last := TaskID{Job: job.ID, N: job.Tasks - 1}
	return packing.Resources{CPU: job.CPUs, GPU: job.GPUs, Mem: job.MemGB, StatusBytes: taskStatusBytes(last, maxAttempt, cause)}
}

// taskStatusBytes returns the largest encoded size of the status of an attempt with the given longest
// cause of its end, with a separator.
func taskStatusBytes(task TaskID, attempt uint64, cause string) float64 {
	status := TaskStatus{Task: task.String(), Attempt: attempt, Status: Ended.String(), Cause: cause}
	return float64(encodedSize(status) + len(","))
}

// encodedSize returns the size of the JSON encoding of a message in bytes.
func encodedSize(message easyjson.Marshaler) int {
	raw, err := easyjson.Marshal(message)
	if err != nil {
		return math.MaxInt32 // unreachable: the messages hold only texts and finite numbers
	}
	return len(raw)
}
