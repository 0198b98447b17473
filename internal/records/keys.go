package records

import "strings"

// Keys. Open and closed jobs live under different prefixes so that a failover
// reads only what is still to be done, while final states are kept for good.
const (
	// KeyLeader holds a Leader, on its lease.
	KeyLeader = "leader"
	// PrefixOpen is the prefix of open jobs; see OpenKey.
	PrefixOpen = "jobs/open/"
	// PrefixClosed is the prefix of closed jobs; see ClosedKey.
	PrefixClosed = "jobs/over/"
	// PrefixFinishedTasks is the prefix of pages with finished tasks; see PartID.
	PrefixFinishedTasks = "done/"
	// PrefixMachines is the prefix of pages with machines.
	PrefixMachines = "machines/"
	// PrefixWatermarks is the prefix of pages with the jobs' watermarks: no task from the
	// watermark on was ever dispatched (package watermark). Versions that keep no
	// watermarks leave these keys alone.
	PrefixWatermarks = "sent/"
	// KeyWatermarksComplete is when the last leader's watermarks were last complete.
	KeyWatermarksComplete = "whole"
	// KeyMachineTypes holds the MachineTypes that were last read from the cloud.
	KeyMachineTypes = "types"
	// PrefixDrains is the prefix of what operators asked to be drained. Versions that know
	// of no drains leave this prefix and the next alone.
	PrefixDrains = "drains/"
	// PrefixDrainState is the prefix of how far the drains are.
	PrefixDrainState = "drainstate/"
	// KeyDrainSequence is written along with each new drain: of two that were planned beside
	// the same others only one is stored.
	KeyDrainSequence = "drainturn"
)

// OpenKey returns the key of an open job.
func OpenKey(id string) string { return PrefixOpen + id }

// ClosedKey returns the key of a closed job.
func ClosedKey(id string) string { return PrefixClosed + id }

// maxIDDigits bounds the length of a job's number.
const maxIDDigits = 100

// ValidID reports whether a job id has the form that users give it: "j-" and a number.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "j-")
	if !ok || len(digits) == 0 || len(digits) > maxIDDigits {
		return false
	}
	for _, r := range digits {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}
