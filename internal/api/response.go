package api

import (
	"drumpick/internal/jsoncodec"
	"drumpick/internal/messagesize"
	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
)

// outcome is the result of a user's request. Each outcome corresponds to one HTTP status.
type outcome int

const (
	outcomeOK          outcome = iota
	outcomeCreated             // a new job was stored
	outcomeInvalid             // the request is malformed
	outcomeNotFound            // there is no such job
	outcomeRejected            // the job can never run or be stored, or its dependencies are invalid
	outcomeUnavailable         // the request cannot be decided now; the user should retry
)

// httpStatus returns the HTTP status for an outcome.
func (o outcome) httpStatus() int {
	switch o {
	case outcomeOK:
		return fiber.StatusOK
	case outcomeCreated:
		return fiber.StatusCreated
	case outcomeInvalid:
		return fiber.StatusBadRequest
	case outcomeNotFound:
		return fiber.StatusNotFound
	case outcomeRejected:
		return fiber.StatusUnprocessableEntity
	default:
		return fiber.StatusServiceUnavailable
	}
}

// response is the outcome of a user's request and the response body, which is encoded as JSON.
type response struct {
	outcome outcome
	body    any
}

// encode returns the reply with the HTTP status and the encoded body.
func (r response) encode() peer.RelayReply { return encodeJSON(r.outcome.httpStatus(), r.body) }

// jobStatus is the body of a response about a job.
type jobStatus struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`    // number of tasks; nil if not reported
	Running *int   `json:"running,omitempty"` // number of tasks; nil if not reported
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// newErrorBody returns the body of an error response. It cuts a long reason.
func newErrorBody(reason string) errorBody { return errorBody{messagesize.Reason(reason)} }

func errorResponse(o outcome, reason string) response { return response{o, newErrorBody(reason)} }

// Responses that are the same for every request.
var (
	unavailableResponse = errorResponse(outcomeUnavailable, "the service cannot decide now; please retry")
	noSuchJobResponse   = errorResponse(outcomeNotFound, "no such job")
)

// openJobResponse returns the response about an open job.
func openJobResponse(id string, progress peer.Progress) response {
	return response{outcomeOK, jobStatus{ID: id, Status: progress.Status, Done: &progress.Done, Running: &progress.Running}}
}

// encodeJSON returns a reply with v encoded as JSON, or a 503 without a body if v cannot be encoded.
func encodeJSON(status int, v any) peer.RelayReply {
	raw, err := jsoncodec.Marshal(v)
	if err != nil {
		return peer.RelayReply{Status: fiber.StatusServiceUnavailable}
	}
	return peer.RelayReply{Status: status, Body: raw}
}
