package fleet

import (
	"math"

	"drumpick/internal/messagesize"
	"drumpick/internal/packing"
	"drumpick/internal/records"
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

// statusBytesStep is the unit of the part of a status that is reserved for a task. Jobs whose tasks need
// the same resources are placed as one class, which must not depend on the length of their ids.
const statusBytesStep = 16

// maxTaskIndex is the highest number of a task, by the protocol.
const maxTaskIndex = 99_999

// Request returns the resources that each task of a job takes of its machine. maxAttempt is the highest
// number that its attempts may have.
func Request(job *records.Job, maxAttempt uint64) packing.Resources {
	cause := CauseStopped // the longest cause, but for gangs
	if job.Shape == records.ShapeGang {
		cause = CauseGangPeerLost
	}
	bytes := taskStatusBytes(TaskID{Job: job.ID, N: maxTaskIndex}, maxAttempt, cause)
	return packing.Resources{
		CPU: job.CPUs, GPU: job.GPUs, Mem: job.MemGB,
		StatusBytes: math.Ceil(bytes/statusBytesStep) * statusBytesStep,
	}
}

// taskStatusBytes returns the largest encoded size of the status of an attempt with the given longest
// cause of its end, with a separator.
func taskStatusBytes(task TaskID, attempt uint64, cause string) float64 {
	const fields = len(`{"shot":"","try":,"status":"ended","cause":"","saved":false},`)
	return float64(fields + maxEncodedBytes(task.Job) + len("/") + decimalDigits(uint64(task.N)) + decimalDigits(attempt) + len(cause))
}

// decimalDigits returns the number of digits of a number.
func decimalDigits(n uint64) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}

// maxEscapedBytes is the largest number of bytes that a byte of a text takes in JSON.
const maxEscapedBytes = len(`\u0000`)

// maxEncodedBytes returns an upper bound of the size of a text in JSON, without quotes: exact for the ids of
// tasks of accepted jobs.
func maxEncodedBytes(text string) int {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'z') && c != '-' && c != '/' {
			return maxEscapedBytes * len(text)
		}
	}
	return len(text)
}
