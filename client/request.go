package client

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
)

// requestJSON sends a request until a controller answers, and decodes the answer. what names the object of
// the request in errors.
func (c *Client) requestJSON(ctx context.Context, method, uri string, body any, what string, out any) error {
	response, err := c.requestWithRetry(ctx, method, uri, body, c.RetryPolicy.RequestTimeout)
	if err == nil {
		err = decode(response, out)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// requestWithRetry sends a request, at one controller after the other, until one gives a final answer.
func (c *Client) requestWithRetry(ctx context.Context, method, uri string, body any, timeout time.Duration) (httpclient.Response, error) {
	raw, err := encode(body)
	if err != nil {
		return httpclient.Response{}, err
	}
	giveUpAt := time.Now().Add(c.RetryPolicy.TotalTimeout)
	for attempt := 1; ; attempt++ {
		index := int(c.preferred.Load()) % len(c.controllers)
		response, sendErr := c.sendOnce(ctx, index, method, uri, raw, timeout)
		cause := sendErr
		if sendErr == nil {
			if final, err := finalAnswer(response); final {
				return response, err
			}
			cause = fmt.Errorf("status %d: %s", response.Status, errorReason(response))
		}
		if ctx.Err() != nil {
			return response, ctx.Err()
		}
		// Another controller may serve where this one cannot.
		c.preferred.CompareAndSwap(uint32(index), uint32((index+1)%len(c.controllers)))
		pause := max(c.RetryPolicy.MinDelay, min(response.RetryAfter, c.RetryPolicy.MaxDelay))
		if sendErr != nil && attempt < len(c.controllers) {
			pause = 0 // this one does not answer: try the next one at once
		}
		pause += rand.N(pause/4 + 1)
		if time.Now().Add(pause).After(giveUpAt) {
			return response, fmt.Errorf("%w: %w", ErrUnavailable, cause)
		}
		if err := ctxtime.Sleep(ctx, pause); err != nil {
			return response, err
		}
	}
}

// reasonNoSuchJob is the reason that the service gives for a job that does not exist; it adds nothing to
// ErrNotFound.
const reasonNoSuchJob = "no such job"

// finalAnswer reports whether a response is final, and the error that it stands for, if any. Any other
// response is one for now: the request is repeated.
func finalAnswer(response httpclient.Response) (final bool, err error) {
	switch response.Status {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted:
		return true, nil
	case http.StatusNotFound:
		if why := errorReason(response); why != reasonNoSuchJob {
			return true, fmt.Errorf("%w: %s", ErrNotFound, why)
		}
		return true, ErrNotFound
	case http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return true, &RefusedError{response.Status, errorReason(response)}
	}
	return false, nil
}

// sendOnce sends a request to one controller. It returns early if the context ends; the goroutine that
// waits for the answer ends by the deadline.
func (c *Client) sendOnce(ctx context.Context, index int, method, uri string, raw []byte, timeout time.Duration) (httpclient.Response, error) {
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	type result struct {
		response httpclient.Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		response, err := c.controllers[index].DoResponse(method, uri, "application/json", raw, deadline)
		results <- result{response, err}
	}()
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		return httpclient.Response{}, ctx.Err()
	}
}

// encode encodes the body of a request; nil has none.
func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// errorReason returns the service's reason for an answer that is an error.
func errorReason(response httpclient.Response) string {
	var f struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(response.Body, &f) != nil || f.Error == "" {
		return fmt.Sprintf("no reason given (status %d)", response.Status)
	}
	return f.Error
}

func decode(response httpclient.Response, out any) error {
	if err := json.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("unreadable answer: %w", err)
	}
	return nil
}
