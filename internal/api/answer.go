package api

import (
	"encoding/json"

	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
	"github.com/mailru/easyjson"
)

// outcome is the result of a user's request; each corresponds to one HTTP status.
type outcome int

const (
	outcomeOK          outcome = iota
	outcomeCreated             // a new job was stored
	outcomeInvalid             // the request is malformed
	outcomeNotFound            // there is no such job
	outcomeRejected            // the request is well formed, but the job can never run
	outcomeUnavailable         // nothing was decided; the user should retry
)

// httpStatus returns the HTTP status that users get for an outcome.
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

// response is the result of a user's request with the body to send.
type response struct {
	outcome outcome
	body    any
}

// encode encodes the answer.
func (a response) encode() peer.RelayReply { return encodeJSON(a.outcome.httpStatus(), a.body) }

// jobStatus is the body of an answer about a job.
type jobStatus struct {
	ID      string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// errorBody is the body of an answer that carries an error.
type errorBody struct {
	Error string `json:"error"`
}

func errorResponse(o outcome, reason string) response { return response{o, errorBody{reason}} }

// Answers that carry no detail of the request.
var (
	unavailableResponse = errorResponse(outcomeUnavailable, "the service cannot decide now; please retry")
	noSuchJobResponse   = errorResponse(outcomeNotFound, "no such job")
)

// openJobResponse answers about a job that has no final state yet.
func openJobResponse(id string, p peer.Progress) response {
	return response{outcomeOK, jobStatus{ID: id, Status: p.Status, Done: &p.Done, Running: &p.Running}}
}

// encodeJSON encodes a body as JSON.
func encodeJSON(status int, v any) peer.RelayReply {
	var raw []byte
	var err error
	if m, ok := v.(easyjson.Marshaler); ok {
		raw, err = easyjson.Marshal(m)
	} else {
		raw, err = json.Marshal(v)
	}
	if err != nil {
		return peer.RelayReply{Status: fiber.StatusServiceUnavailable}
	}
	return peer.RelayReply{Status: status, Body: raw}
}
