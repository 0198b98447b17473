package records

import "strings"

// Keys. Open and closed jobs have different prefixes, so that a failover reads only the open jobs;
// the states of closed jobs are kept forever.
const (
	// KeyLeader holds a Leader and is attached to the leader's lease.
	KeyLeader = "leader"
	// PrefixOpen is the prefix of open jobs; see OpenKey.
	PrefixOpen = "jobs/open/"
	// PrefixClosed is the prefix of closed jobs; see ClosedKey.
	PrefixClosed = "jobs/over/"
	// PrefixFinishedTasks is the prefix of pages with finished tasks; see PartID.
	PrefixFinishedTasks = "done/"
	// PrefixMachines is the prefix of pages with machines.
	PrefixMachines = "machines/"
	// PrefixWatermarks is the prefix of pages with the jobs' watermarks: no task at or above the
	// watermark has ever been dispatched, if the watermarks are complete (package watermark).
	// Versions without watermarks do not touch these keys.
	PrefixWatermarks = "sent/"
	// KeyWatermarksComplete holds a watermark.StoredAttestation: when the watermarks were last
	// complete.
	KeyWatermarksComplete = "whole"
	// KeyMachineTypes holds the MachineTypes last read from the cloud.
	KeyMachineTypes = "types"
	// PrefixDrains is the prefix of the drains that operators requested. Versions without drains do
	// not touch this prefix or PrefixDrainState.
	PrefixDrains = "drains/"
	// PrefixDrainState is the prefix of the progress of drains.
	PrefixDrainState = "drainstate/"
	// KeyDrainSequence is written in the commit of each new drain and compared with the revision
	// that was read when the drain was planned. So of two drains planned against the same set of
	// drains, only one is stored.
	KeyDrainSequence = "drainturn"
)

// OpenKey returns the key of an open job.
func OpenKey(id string) string { return PrefixOpen + id }

// ClosedKey returns the key of a closed job.
func ClosedKey(id string) string { return PrefixClosed + id }

// maxIDDigits is the maximum number of digits in a job id.
const maxIDDigits = 100

// ValidID reports whether a job id has the form "j-" and a decimal number.
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
