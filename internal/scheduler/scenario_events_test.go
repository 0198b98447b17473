package scheduler

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/drain"
	"drumpick/internal/fleet"
	"drumpick/internal/records"
)

// schedulerEvents are the events of a scenario other than settings, by name. Each returns lines that
// describe the scheduler's decisions, to be compared with the scenario's "  > " lines.
var schedulerEvents = map[string]func(*replay, *Scheduler, eventInput) []string{
	// Jobs.
	"job": func(r *replay, s *Scheduler, in eventInput) []string {
		s.AddJob(r.parseJob(in), uint64(r.parseNumber(in.args["revision"], 10)), r.now, r.now)
		return nil
	},
	"job-cancelled": func(r *replay, s *Scheduler, in eventInput) []string {
		s.ApplyClosedRecord(in.words[0], records.ClosedJob{Status: records.StatusCancelled}, r.parseRevision(in))
		return r.takeUrgentCommands()
	},
	"job-done": func(r *replay, s *Scheduler, in eventInput) []string {
		s.ApplyClosedRecord(in.words[0], records.ClosedJob{Status: records.StatusDone, AtMS: r.now.UnixMilli()}, r.parseRevision(in))
		return r.takeUrgentCommands()
	},
	"job-done-without-time": func(r *replay, s *Scheduler, in eventInput) []string {
		s.ApplyClosedRecord(in.words[0], records.ClosedJob{Status: records.StatusDone}, r.parseRevision(in))
		return nil
	},
	"job-closed": func(r *replay, s *Scheduler, in eventInput) []string {
		s.CloseJob(in.words[0])
		return r.takeUrgentCommands()
	},
	"stored": func(_ *replay, s *Scheduler, in eventInput) []string {
		job := s.jobs[in.words[0]]
		job.stored = slices.Clone(job.done)
		return nil
	},
	"in-flight": func(r *replay, s *Scheduler, in eventInput) []string {
		at := s.LastDispatched(in.words[0])
		if at.IsZero() {
			return []string{"nothing on its way"}
		}
		return []string{fmt.Sprintf("sent at %g and not shown yet", at.Sub(r.start).Seconds())}
	},
	"queue": (*replay).listQueue,
	"jobs":  (*replay).listJobs,
	"to-cancel": func(_ *replay, s *Scheduler, _ eventInput) []string {
		return linesOrDefault(s.dependencies.ToCancel(), "none to cancel")
	},

	// Records and failover.
	"recorded-done": func(_ *replay, s *Scheduler, in eventInput) []string {
		if err := s.LoadDone(in.words[0], 0, in.words[1]); err != nil {
			return []string{"error: " + err.Error()}
		}
		return nil
	},
	"recorded-machine": func(r *replay, s *Scheduler, in eventInput) []string {
		name := in.words[0]
		record := records.Machine{Addr: name + ":1", Type: "c4", Zone: textOrDefault(in.args["zone"], "a"), Spot: in.args["spot"] != ""}
		s.LoadMachine(name, record, r.now)
		return nil
	},
	"recorded-watermarks": func(r *replay, s *Scheduler, in eventInput) []string {
		stored := map[string]int{}
		for id, n := range keyValues(in.words[1:]) {
			stored[id] = int(r.parseNumber(n, 0))
		}
		s.LoadWatermarks(stored, in.words[0] == "complete")
		return nil
	},
	"watermarks-to-store": func(_ *replay, s *Scheduler, _ eventInput) []string { return watermarksToStore(s) },
	"watermarks-stored": func(_ *replay, s *Scheduler, _ eventInput) []string {
		lines := watermarksToStore(s)
		for job := range s.watermarks.raised {
			job.watermark.RecordStored(job.watermark.Requested)
			delete(s.watermarks.raised, job)
		}
		return lines
	},
	"relax": func(_ *replay, s *Scheduler, _ eventInput) []string {
		s.watermarks.relaxed = true
		return nil
	},
	"expire-earlier-leases": func(r *replay, s *Scheduler, _ eventInput) []string {
		return []string{fmt.Sprintf("unheard machines: %d, settled: %v", s.ExpireEarlierLeases(r.now), s.reconciled)}
	},
	"check-reconciled": func(r *replay, s *Scheduler, _ eventInput) []string {
		s.CheckReconciled(r.now)
		return []string{fmt.Sprintf("settled: %v", s.reconciled)}
	},
	"recorded": func(_ *replay, s *Scheduler, in eventInput) []string {
		for _, name := range in.words {
			s.fleet.Machines[name].Recorded = true
		}
		return nil
	},

	// Workers and time.
	"heartbeat":      (*replay).sendHeartbeat,
	"late-heartbeat": (*replay).sendLateHeartbeat,
	"status":         (*replay).applyStatus,
	"probe":          (*replay).listProbes,
	"probe-answer":   (*replay).applyProbeAnswer,
	"relayed": func(r *replay, s *Scheduler, in eventInput) []string {
		if s.NeedsRelay(in.words[0], r.now) {
			return []string{"answered through the peer"}
		}
		return []string{"sent here"}
	},
	"tick": func(r *replay, s *Scheduler, in eventInput) []string {
		s.Tick(r.now, in.args["run"] != "no")
		return r.takeUrgentCommands()
	},

	// Autoscaling.
	"scale-out": (*replay).scaleOut,
	"scale-in":  (*replay).scaleIn,
	"rented": func(r *replay, s *Scheduler, in eventInput) []string {
		s.MachinesRented(r.requests[in.words[0]], in.words[1:], r.now)
		return nil
	},
	"refused": func(r *replay, s *Scheduler, in eventInput) []string {
		s.RentalRefused(r.requests[in.words[0]], true, r.now)
		return nil
	},
	"listed": (*replay).applyCloudList,
	"returned": func(r *replay, s *Scheduler, in eventInput) []string {
		s.MachinesReturned(in.words, r.now)
		return nil
	},

	// Drains.
	"drain":      (*replay).startDrain,
	"stop-drain": (*replay).stopDrain,
	"drains":     (*replay).listDrains,
}

// parseJob parses a job from an event's id and arguments, with defaults for arguments that are
// missing.
func (r *replay) parseJob(in eventInput) records.Job {
	a := in.args
	job := records.Job{
		ID: in.words[0], Team: textOrDefault(a["team"], "team"), Class: a["class"],
		Shape: textOrDefault(a["shape"], "batch"), Priority: textOrDefault(a["priority"], "standard"),
		Tasks: int(r.parseNumber(a["tasks"], 1)), CPUs: r.parseNumber(a["cpus"], 1), GPUs: r.parseNumber(a["gpus"], 0), MemGB: r.parseNumber(a["mem"], 1),
		Image: textOrDefault(a["image"], "img"), ImageGB: r.parseNumber(a["image_gb"], 0),
		EstimateS: r.parseNumber(a["estimate"], 60), CheckpointS: r.parseNumber(a["checkpoint"], 0), SaveS: r.parseNumber(a["save"], 0),
		OneZone: a["one_zone"] != "", SpreadZones: a["spread_zones"] != "", Spot: a["spot"] != "no", AcceptedMS: r.now.UnixMilli(),
	}
	if zone := a["zone"]; zone != "" {
		job.Zone = &zone
	}
	if ids := a["dependencies"]; ids != "" {
		job.Dependencies = strings.Split(ids, ",")
	}
	if a["deadline"] != "" {
		deadline := r.parseNumber(a["deadline"], 0)
		job.DeadlineS = &deadline
	}
	if types := a["types"]; types != "" {
		job.Types = strings.Split(types, ",")
	}
	return job
}

func (r *replay) parseRevision(in eventInput) uint64 {
	return uint64(r.parseNumber(in.args["revision"], 20))
}

func watermarksToStore(s *Scheduler) []string {
	var lines []string
	for job := range s.watermarks.raised {
		lines = append(lines, fmt.Sprintf("%s: none sent from %d on", job.ID, job.watermark.Requested))
	}
	sort.Strings(lines)
	return linesOrDefault(lines, "no marks to store")
}

func (r *replay) listQueue(s *Scheduler, _ eventInput) []string {
	var lines []string
	for _, job := range s.queue(r.now) {
		released := job.releasedAt.Sub(r.start).Seconds()
		line := fmt.Sprintf("%s rank %d, counts from %g", job.ID, job.rank, released)
		for _, target := range job.targets {
			line += fmt.Sprintf(", due at %g", released+target)
		}
		lines = append(lines, line)
	}
	return linesOrDefault(lines, "nothing to start")
}

func (r *replay) listJobs(s *Scheduler, _ eventInput) []string {
	var lines []string
	for id := range s.jobs {
		status, done, running, _ := s.Progress(id)
		lines = append(lines, fmt.Sprintf("%s %s, %d done, %d running, %d to start", id, status, done, running, s.jobs[id].pending()))
	}
	sort.Strings(lines)
	return lines
}

func (r *replay) scaleOut(s *Scheduler, _ eventInput) []string {
	var lines []string
	for _, request := range s.PlanRentals(r.now) {
		r.requests[request.Name] = request
		lines = append(lines, fmt.Sprintf("rent %s: %d %s in %s spot=%v", request.Name, request.Count, request.Type, request.Zone, request.Spot))
	}
	return linesOrDefault(lines, "rent nothing")
}

func (r *replay) scaleIn(s *Scheduler, _ eventInput) []string {
	names := s.MachinesToReturn(r.now)
	if len(names) == 0 {
		return []string{"give back nothing"}
	}
	return []string{"give back " + strings.Join(names, " ")}
}

func (r *replay) applyCloudList(s *Scheduler, in eventInput) []string {
	var list []autoscaler.CloudMachine
	for _, word := range in.words {
		name, status, _ := strings.Cut(word, "=")
		list = append(list, autoscaler.CloudMachine{Machine: name, Addr: name + ":1", Type: "c4", Zone: "a", Status: status, AgeS: 30})
	}
	s.ReconcileCloudList(list, r.now, r.now)
	return nil
}

func (r *replay) startDrain(s *Scheduler, in eventInput) []string {
	a := in.args
	spec := drain.Spec{
		ID: in.words[0], Kind: a["kind"], Zone: a["zone"], TargetVersion: a["to"], WhenEmpty: a["then"],
		MaxOutOfService: int(r.parseNumber(a["at_once"], 0)), MinInService: int(r.parseNumber(a["keep"], 0)), RequestedMS: r.now.UnixMilli(),
	}
	if a["machines"] != "" {
		spec.Machines = strings.Split(a["machines"], ",")
	}
	if a["in"] != "" {
		spec.DeadlineMS = r.now.Add(time.Duration(r.parseNumber(a["in"], 0) * float64(time.Second))).UnixMilli()
	}
	if err := spec.Check(r.now); err != nil {
		return []string{"refused: " + err.Error()}
	}
	plan, err := s.PreviewDrain(&spec, a["force"] != "", r.now)
	if err != nil {
		return []string{"refused: " + err.Error()}
	}
	var lines []string
	for _, m := range plan.Machines {
		for _, t := range m.Tasks {
			lines = append(lines, fmt.Sprintf("%s: %s %s, %s", m.Machine, t.Task, t.Action, t.Reason))
		}
	}
	if a["plan"] == "" {
		s.SetDrain(spec, nil, 0)
	}
	return linesOrDefault(lines, "nothing runs there")
}

func (r *replay) stopDrain(s *Scheduler, in eventInput) []string {
	for _, d := range s.drains.list {
		if d.spec.ID == in.words[0] {
			spec := d.spec
			spec.Stopped = true
			s.SetDrain(spec, nil, 0)
		}
	}
	return nil
}

func (r *replay) listDrains(s *Scheduler, _ eventInput) []string {
	var lines []string
	for _, d := range s.drains.list {
		state := d.state
		line := fmt.Sprintf("%s %s, %d left, seen: %d finished, %d moved, %d lost, %d vanished",
			d.spec.ID, state.Phase, state.MachinesLeft, state.Actual.Finish, state.Actual.Move, state.Actual.Restart, state.Actual.MachineLost)
		if len(state.OutOfService) > 0 {
			line += ", in hand " + strings.Join(state.OutOfService, " ")
		}
		if state.Rollout != nil && state.Rollout.RolledBack {
			line += ", back to " + state.Rollout.Target
		}
		if state.Blocked != "" {
			line += ", waits: " + state.Blocked
		}
		lines = append(lines, line)
	}
	return lines
}

func (r *replay) listProbes(s *Scheduler, _ eventInput) []string {
	r.probes = map[string]fleet.Probe{}
	var lines []string
	for _, probe := range s.Probes(r.now) {
		r.probes[probe.Machine] = probe
		lines = append(lines, fmt.Sprintf("ask %s what it has", probe.Machine))
	}
	return linesOrDefault(lines, "ask nobody")
}
