package operator

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"drumpick/internal/drain"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/messagesize"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
)

// statusDrainUnread is the status of the leader's reply to a plan request if the leader has not yet
// read a stored drain that the plan must take into account.
const statusDrainUnread = fiber.StatusTooEarly

// planDrain returns the leader's reply to a plan request: the plan of the drain, or an error response.
func (s *Server) planDrain(request drainRequest) peer.RelayReply {
	raw, err := jsoncodec.Marshal(request)
	if err != nil {
		return errorResponse(fiber.StatusBadRequest, err.Error())
	}
	return s.AskLeader(peer.RelayRequest{Method: methodPlanDrain, Body: raw})
}

// planDrainAsLeader handles a plan request as the leader; body is an encoded drainRequest.
func planDrainAsLeader(l Leader, body []byte) peer.RelayReply {
	var request drainRequest
	if err := jsoncodec.Unmarshal(body, &request); err != nil {
		return errorResponse(fiber.StatusBadRequest, err.Error())
	}
	for _, id := range request.Seen {
		if _, ok := l.Drain(id); !ok {
			return errorResponse(statusDrainUnread, "the leader has not read the drain "+id)
		}
	}
	plan, err := l.PreviewDrain(&request.Spec, request.Force)
	var targetErr *scheduler.DrainTargetError
	var refusedErr *scheduler.DrainRefusedError
	switch {
	case errors.As(err, &targetErr):
		return errorResponse(fiber.StatusNotFound, err.Error())
	case errors.As(err, &refusedErr):
		return errorResponse(fiber.StatusConflict, err.Error())
	case err != nil:
		return errorResponse(fiber.StatusServiceUnavailable, err.Error())
	}
	cutToPage(plan, request.Since)
	return okResponse(plan)
}

// cutToPage reduces the machines of a plan to those whose names sort after since, as far as the encoded
// plan fits into a response, but at least one machine. If a single machine does not fit, its last tasks
// are only counted. The totals of a page cover all machines and tasks.
func cutToPage(plan *drain.Plan, since string) {
	machines := plan.Machines
	first, _ := slices.BinarySearchFunc(machines, since, func(m drain.MachinePlan, name string) int {
		if m.Machine <= name {
			return -1
		}
		return 1
	})
	machines = machines[first:]
	cutClasses(plan)
	// The sizes are those of the final page, in which "more" may be set.
	plan.Machines, plan.Truncated = []drain.MachinePlan{}, true
	budget := messagesize.Max - records.EncodedSize(plan)
	fit := messagesize.FitPrefix(machines, budget)
	if fit == 0 && len(machines) > 0 {
		cutTasks(&machines[0], budget)
		fit = 1
	}
	plan.Machines, plan.Truncated = machines[:fit], fit < len(machines)
}

// maxClassBytes bounds the encoded totals by class in a page of a plan, so that machines fit as well.
const maxClassBytes = messagesize.Max / 4

// cutClasses removes the totals of the last classes by name beyond maxClassBytes, and adds a warning
// that says how many.
func cutClasses(plan *drain.Plan) {
	names := slices.Sorted(maps.Keys(plan.Classes))
	budget, omitted := maxClassBytes, 0
	for _, name := range names {
		size := records.EncodedSize(name) + len(":,") + records.EncodedSize(plan.Classes[name])
		if budget -= size; budget < 0 {
			delete(plan.Classes, name)
			omitted++
		}
	}
	if omitted > 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d classes of jobs are not listed; the totals include them", omitted))
	}
}

// cutTasks removes the last tasks of a machine until the encoded machine fits into budget bytes, and
// counts them as omitted.
func cutTasks(machine *drain.MachinePlan, budget int) {
	tasks := machine.Tasks
	machine.Tasks, machine.OmittedTasks = nil, len(tasks)
	fit := messagesize.FitPrefix(tasks, budget-records.EncodedSize(machine)-len(`"tasks":[],`))
	machine.Tasks, machine.OmittedTasks = tasks[:fit], len(tasks)-fit
}
