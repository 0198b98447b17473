package scheduler

import (
	"fmt"
	"sort"
	"strings"

	"drumpick/internal/fleet"
)

// sendHeartbeat replays a machine's heartbeat and returns the commands of the answer:
// "heartbeat m-1 incarnation=1 j-1/0:ATTEMPT=running ...". The machine is added to the fleet first,
// unless it was returned or the event has the argument "unknown".
func (r *replay) sendHeartbeat(s *Scheduler, in eventInput) []string {
	h := r.parseHeartbeat(in)
	if _, returned := s.autoscaling.returnedAt[h.Machine]; !returned && in.args["unknown"] == "" {
		s.fleet.GetOrCreate(h.Machine, "", h.Type, h.Zone, h.Spot)
	}
	return r.answerHeartbeat(s, h, in.args["run"] != "no")
}

// sendLateHeartbeat replays a heartbeat that arrives late. Its machine may be unknown and is not added
// first.
func (r *replay) sendLateHeartbeat(s *Scheduler, in eventInput) []string {
	return r.answerHeartbeat(s, r.parseHeartbeat(in), in.args["run"] != "no")
}

func (r *replay) answerHeartbeat(s *Scheduler, h *fleet.Heartbeat, canRun bool) []string {
	machine, stale := s.Reconcile(h, true, r.now)
	if stale {
		response, renewed := s.RenewOvertaken(machine, h, r.now)
		if renewed {
			return append([]string{"overtaken by an answer: its lease is renewed, nothing is concluded"}, commandLines(response.Commands)...)
		}
		return []string{"older than what is known: not answered with 200"}
	}
	if canRun {
		s.PlanMachine(machine, r.now)
	}
	response := s.Respond(machine, canRun, r.now)
	s.RecordAnswer(machine, h.Via, r.now)
	return commandLines(response.Commands)
}

// applyStatus replays the status in a worker's answer to a direct command.
func (r *replay) applyStatus(s *Scheduler, in eventInput) []string {
	if _, stale := s.Reconcile(r.parseHeartbeat(in), false, r.now); stale {
		return []string{"older than what is known: not answered with 200"}
	}
	return r.takeUrgentCommands()
}

// applyProbeAnswer replays a machine's answer to the last probe.
func (r *replay) applyProbeAnswer(s *Scheduler, in eventInput) []string {
	h := r.parseHeartbeat(in)
	s.ApplyProbe(r.probes[h.Machine], h, r.now)
	return r.takeUrgentCommands()
}

// parseHeartbeat parses a heartbeat or a status from an event. The sequence number defaults to the
// next one of the machine.
func (r *replay) parseHeartbeat(in eventInput) *fleet.Heartbeat {
	name, a := in.words[0], in.args
	h := &fleet.Heartbeat{
		Machine: name, Addr: name + ":1", Type: textOrDefault(a["type"], "c4"), Zone: textOrDefault(a["zone"], "a"), Spot: a["spot"] != "",
		Version: fleet.OptionalText(a["version"]), Incarnation: uint64(r.parseNumber(a["incarnation"], 1)),
		FencingToken: uint64(r.parseNumber(a["token"], float64(r.term))), Via: a["via"],
	}
	if notice := a["preemption_notice"]; notice != "" {
		seconds := r.parseNumber(notice, 0)
		h.PreemptionNoticeS = &seconds
	}
	if a["sequence"] != "" {
		h.Sequence = uint64(r.parseNumber(a["sequence"], 0))
	} else {
		r.sequences[name]++
		h.Sequence = r.sequences[name]
	}
	for _, word := range in.words[1:] {
		key, value, _ := strings.Cut(word, "=")
		task, attempt, ok := strings.Cut(key, ":")
		if !ok {
			continue
		}
		status := fleet.TaskStatus{Task: task, Attempt: r.parseAttemptNumber(attempt)}
		status.Status, status.Cause, _ = strings.Cut(value, ":")
		status.Cause, status.CheckpointSaved = strings.CutSuffix(status.Cause, "+saved")
		h.Tasks = append(h.Tasks, status)
	}
	return h
}

// parseAttemptNumber parses an attempt number such as "5.2", the second of term 5.
func (r *replay) parseAttemptNumber(text string) uint64 {
	term, n, _ := strings.Cut(text, ".")
	return uint64(r.parseNumber(term, 0))<<24 | uint64(r.parseNumber(n, 0))
}

func commandLines(commands []fleet.Command) []string {
	lines := []string{}
	for _, c := range commands {
		line := fmt.Sprintf("%s %s:%d.%d", c.Verb, c.Task, c.Attempt>>24, c.Attempt&(1<<24-1))
		if c.GraceS != nil {
			line += fmt.Sprintf(" with %gs to save", *c.GraceS)
		}
		lines = append(lines, line)
	}
	return linesOrDefault(lines, "no orders")
}

// takeUrgentCommands returns the commands to be sent at once, before the next heartbeats, and clears
// the set of machines that need them.
func (r *replay) takeUrgentCommands() []string {
	var lines, names []string
	for name := range r.scheduler.urgentMachines {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if machine := r.scheduler.fleet.Machines[name]; machine != nil {
			for _, batch := range machine.AllBatches() {
				for _, line := range commandLines(batch.Commands) {
					lines = append(lines, "at once to "+name+": "+line)
				}
			}
		}
		delete(r.scheduler.urgentMachines, name)
	}
	return lines
}
