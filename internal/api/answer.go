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

// answer is the result of a user's request with the body to send.
type answer struct {
	outcome outcome
	body    any
}

// reply encodes the answer.
func (a answer) reply() peer.RelayReply { return encodeReply(a.outcome.httpStatus(), a.body) }

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

func failed(o outcome, reason string) answer { return answer{o, errorBody{reason}} }

// Answers that carry no detail of the request.
var (
	answerUnavailable = failed(outcomeUnavailable, "the service cannot decide now; please retry")
	answerNoSuchJob   = failed(outcomeNotFound, "no such job")
)

// answerOpen answers about a job that has no final state yet.
func answerOpen(id string, p peer.Progress) answer {
	return answer{outcomeOK, jobStatus{ID: id, Status: p.Status, Done: &p.Done, Running: &p.Running}}
}

// encodeReply encodes a body as JSON.
func encodeReply(status int, v any) peer.RelayReply {
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
