package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/httpclient"
	"drumpick/internal/jsoncodec"
)

// requestJSON sends a request, with retries, and decodes the response into out. Errors are prefixed with
// subject.
func (c *Client) requestJSON(ctx context.Context, method, uri string, body any, subject string, out any) error {
	response, err := c.requestWithRetry(ctx, method, uri, body, c.RetryPolicy.RequestTimeout)
	if err == nil {
		err = decode(response, out)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", subject, err)
	}
	return nil
}

// requestWithRetry sends a request to one controller after the other until one gives a final response,
// RetryPolicy.TotalTimeout has passed (ErrUnavailable) or ctx ends (its error). A final response other
// than success is returned with ErrNotFound or a RefusedError.
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
		// Another controller may be able to serve this and later requests.
		c.preferred.CompareAndSwap(uint32(index), uint32((index+1)%len(c.controllers)))
		delay := max(c.RetryPolicy.MinDelay, min(response.RetryAfter, c.RetryPolicy.MaxDelay))
		if sendErr != nil && attempt < len(c.controllers) {
			delay = 0 // no response: try the next controller immediately
		}
		delay += rand.N(delay/4 + 1)
		if time.Now().Add(delay).After(giveUpAt) {
			return response, fmt.Errorf("%w: %w", ErrUnavailable, cause)
		}
		if err := ctxtime.Sleep(ctx, delay); err != nil {
			return response, err
		}
	}
}

// reasonNoSuchJob is the service's error text for an unknown job. finalAnswer leaves it out, because
// ErrNotFound means the same.
const reasonNoSuchJob = "no such job"

// finalAnswer reports whether a response is final, and the error that it represents, if any. Any other
// response is temporary, and the request is retried.
func finalAnswer(response httpclient.Response) (final bool, err error) {
	switch response.Status {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted:
		return true, nil
	case http.StatusNotFound:
		if reason := errorReason(response); reason != reasonNoSuchJob {
			return true, fmt.Errorf("%w: %s", ErrNotFound, reason)
		}
		return true, ErrNotFound
	case http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return true, &RefusedError{response.Status, errorReason(response)}
	}
	return false, nil
}

// sendOnce sends a request to one controller. It returns early if the context ends; the goroutine that
// waits for the response ends by the deadline.
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

// encode encodes a request body as JSON; a nil body gives nil, for a request without a body.
func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return jsoncodec.Marshal(body)
}

// errorReason returns the error text of an error response.
func errorReason(response httpclient.Response) string {
	var body struct {
		Error string `json:"error"`
	}
	if jsoncodec.Unmarshal(response.Body, &body) != nil || body.Error == "" {
		return fmt.Sprintf("no reason given (status %d)", response.Status)
	}
	return body.Error
}

func decode(response httpclient.Response, out any) error {
	if err := jsoncodec.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
