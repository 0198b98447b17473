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

// plan asks the leader what a drain would do.
func (s *Server) plan(in request) peer.RelayReply {
	raw, err := json.Marshal(in)
	if err != nil {
		return failed(fiber.StatusBadRequest, err.Error())
	}
	return s.Answer(peer.RelayRequest{Method: methodPlanDrain, Body: raw})
}

// decidePlan answers, as the leader, what a drain would do.
func decidePlan(l Local, body []byte) peer.RelayReply {
	var in request
	if err := json.Unmarshal(body, &in); err != nil {
		return failed(fiber.StatusBadRequest, err.Error())
	}
	for _, id := range in.Seen {
		if _, ok := l.Drain(id); !ok {
			return failed(statusDrainUnread, "the leader has not read the drain "+id)
		}
	}
	plan, err := l.PreviewDrain(&in.Spec, in.Force, in.Since, tasksPerPage)
	var noMachine *scheduler.DrainTargetError
	var noCapacityLeft *scheduler.DrainRefusedError
	switch {
	case errors.As(err, &noMachine):
		return failed(fiber.StatusNotFound, err.Error())
	case errors.As(err, &noCapacityLeft):
		return failed(fiber.StatusConflict, err.Error())
	case err != nil:
		return failed(fiber.StatusServiceUnavailable, err.Error())
	}
	return succeeded(plan)
}
