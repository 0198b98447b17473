package operator

import (
	"encoding/json"
	"errors"

	"drumpick/internal/peer"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
)

// tasksPerPage is the maximum number of machines and tasks together in a page of a plan, which
// keeps the page below the limit of 64 KiB. Further machines follow in further pages. Tasks of one
// machine beyond the limit are only counted; the totals in each page cover all tasks.
const tasksPerPage = 250

// statusDrainUnread is the status of the leader's reply to a plan request if the leader has not yet
// read a stored drain that the plan must take into account.
const statusDrainUnread = fiber.StatusTooEarly

// planDrain returns the leader's reply to a plan request: the plan of the drain, or an error response.
func (s *Server) planDrain(request drainRequest) peer.RelayReply {
	raw, err := json.Marshal(request)
	if err != nil {
		return errorResponse(fiber.StatusBadRequest, err.Error())
	}
	return s.AskLeader(peer.RelayRequest{Method: methodPlanDrain, Body: raw})
}

// planDrainAsLeader handles a plan request as the leader; body is an encoded drainRequest.
func planDrainAsLeader(l Leader, body []byte) peer.RelayReply {
	var request drainRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return errorResponse(fiber.StatusBadRequest, err.Error())
	}
	for _, id := range request.Seen {
		if _, ok := l.Drain(id); !ok {
			return errorResponse(statusDrainUnread, "the leader has not read the drain "+id)
		}
	}
	plan, err := l.PreviewDrain(&request.Spec, request.Force, request.Since, tasksPerPage)
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
	return okResponse(plan)
}
