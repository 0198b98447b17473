package operator

import (
	"encoding/json"
	"errors"

	"drumpick/internal/peer"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
)

// tasksPerPage is how many tasks a page of a plan lists, so that it stays below 64 KiB. The rest
// comes in further pages; the sums are of all tasks.
const tasksPerPage = 250

// statusDrainUnread is a leader's answer, to controllers alone, that it has not read a drain beside
// which it is to plan another.
const statusDrainUnread = fiber.StatusTooEarly

// planDrain asks the leader what a drain would do.
func (s *Server) planDrain(in drainRequest) peer.RelayReply {
	raw, err := json.Marshal(in)
	if err != nil {
		return errorResponse(fiber.StatusBadRequest, err.Error())
	}
	return s.AskLeader(peer.RelayRequest{Method: methodPlanDrain, Body: raw})
}

// planDrainAsLeader answers, as the leader, what a drain would do.
func planDrainAsLeader(l Leader, body []byte) peer.RelayReply {
	var in drainRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return errorResponse(fiber.StatusBadRequest, err.Error())
	}
	for _, id := range in.Seen {
		if _, ok := l.Drain(id); !ok {
			return errorResponse(statusDrainUnread, "the leader has not read the drain "+id)
		}
	}
	plan, err := l.PreviewDrain(&in.Spec, in.Force, in.Since, tasksPerPage)
	var noMachine *scheduler.DrainTargetError
	var noCapacityLeft *scheduler.DrainRefusedError
	switch {
	case errors.As(err, &noMachine):
		return errorResponse(fiber.StatusNotFound, err.Error())
	case errors.As(err, &noCapacityLeft):
		return errorResponse(fiber.StatusConflict, err.Error())
	case err != nil:
		return errorResponse(fiber.StatusServiceUnavailable, err.Error())
	}
	return okResponse(plan)
}
