package fleet

import (
	"cmp"
	"slices"
)

// CommandBatch is a list of commands that fits into one message to a worker. Without commands it is an
// empty list, not nil, as the protocol requires.
type CommandBatch struct {
	Commands []Command
	bytes    int // upper bound of the encoded size of the commands with separators
}

// HasRoom reports whether a command fits.
func (b *CommandBatch) HasRoom(command Command) bool {
	return b.bytes+commandSize(command) <= maxCommandBytes
}

// TryAdd adds a command if it fits, and reports whether it did.
func (b *CommandBatch) TryAdd(command Command) bool {
	if !b.HasRoom(command) {
		return false
	}
	b.bytes += commandSize(command)
	b.Commands = append(b.Commands, command)
	return true
}

// commandSize returns an upper bound of the encoded size of a command with a separator.
func commandSize(command Command) int {
	return maxCommandFieldBytes + maxEncodedBytes(command.Task)
}

// maxCommandFieldBytes is the largest encoded size of a command without its task, with a separator.
const maxCommandFieldBytes = len(`{"verb":"kill","shot":"","try":18446744073709551615,"wind_down_s":-1.7976931348623157e+308},`)

// NextBatch returns reap and kill commands that are due for the machine, as many as fit into one message,
// and whether more are due. The commands are idempotent: they may arrive late, repeatedly, or both in a
// heartbeat response and as a direct command. Kills come before reaps if not all fit, those that were
// sent least often first, so that repeated calls send all.
func (m *Machine) NextBatch() (batch CommandBatch, more bool) {
	batch, rest := takeBatch(m.pendingCommands())
	return batch, len(rest) > 0
}

// AllBatches returns all reap and kill commands that are due for the machine, in batches; none if
// nothing is due.
func (m *Machine) AllBatches() []CommandBatch {
	var batches []CommandBatch
	for pending := m.pendingCommands(); len(pending) > 0; {
		batch, rest := takeBatch(pending)
		batches = append(batches, batch)
		pending = rest
	}
	return batches
}

// pendingCommand is a command that is due for an attempt.
type pendingCommand struct {
	Command
	attempt *Attempt
}

// pendingCommands returns the commands that are due for the machine: reaps, then kills, each in the order
// of the attempts.
func (m *Machine) pendingCommands() []pendingCommand {
	var reaps, kills []pendingCommand
	for _, a := range m.attempts {
		switch {
		case a.state == Ended && a.MayReap:
			reaps = append(reaps, pendingCommand{Command{Verb: VerbReap, Task: a.Task.String(), Attempt: a.Number}, a})
		case a.stopping && a.MayBePresent():
			graceS := a.graceS
			kills = append(kills, pendingCommand{Command{Verb: VerbKill, Task: a.Task.String(), Attempt: a.Number, GraceS: &graceS}, a})
		}
	}
	return append(reaps, kills...)
}

// takeBatch splits commands into a batch, in their order, and the commands that do not fit. It counts
// the batch's kills as sent. The batch has at least one command if there is any.
func takeBatch(pending []pendingCommand) (batch CommandBatch, rest []pendingCommand) {
	batch.Commands = make([]Command, 0, len(pending))
	var selected map[*Attempt]bool // nil: all
	if totalSize(pending) > maxCommandBytes {
		selected = fittingCommands(pending)
	}
	for _, command := range pending {
		if selected != nil && !selected[command.attempt] || !batch.TryAdd(command.Command) {
			rest = append(rest, command)
		} else if command.Verb == VerbKill {
			command.attempt.killsSent++
		}
	}
	return batch, rest
}

// totalSize returns an upper bound of the encoded size of commands with separators.
func totalSize(pending []pendingCommand) int {
	total := 0
	for _, command := range pending {
		total += commandSize(command.Command)
	}
	return total
}

// fittingCommands returns the attempts whose commands are selected for a batch; each has one command.
func fittingCommands(pending []pendingCommand) map[*Attempt]bool {
	byPriority := slices.Clone(pending)
	slices.SortStableFunc(byPriority, func(a, b pendingCommand) int {
		return cmp.Or(cmp.Compare(verbPriority(a.Verb), verbPriority(b.Verb)), cmp.Compare(a.attempt.killsSent, b.attempt.killsSent))
	})
	fits := make(map[*Attempt]bool, len(pending))
	bytes := 0
	for _, command := range byPriority {
		if bytes += commandSize(command.Command); bytes > maxCommandBytes {
			break
		}
		fits[command.attempt] = true
	}
	return fits
}

// verbPriority orders commands by urgency, the most urgent first.
func verbPriority(verb string) int {
	if verb == VerbKill {
		return 0
	}
	return 1
}
