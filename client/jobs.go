package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"

	"drumpick/internal/ctxtime"
)

// Submit submits a job, with retries, and reports whether the job was new. Submitting a job
// again, by any caller, is not an error: if the ID is known, the job is not stored, and the status is that of the
// job that is.
func (c *Client) Submit(ctx context.Context, j Job) (st Status, created bool, err error) {
	response, err := c.requestWithRetry(ctx, http.MethodPost, "/work", j, c.RetryPolicy.SubmitTimeout)
	if err != nil {
		return st, false, fmt.Errorf("job %s: %w", j.ID, err)
	}
	return st, response.Status == http.StatusCreated, decode(response, &st)
}

// Get returns a job's status.
func (c *Client) Get(ctx context.Context, id string) (Status, error) {
	var st Status
	return st, c.requestJSON(ctx, http.MethodGet, "/work/"+url.PathEscape(id), nil, "job "+id, &st)
}

// Cancel cancels a job and returns its final status: Done if the job was done before, else Cancelled.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	var st Status
	return st, c.requestJSON(ctx, http.MethodPost, "/work/"+url.PathEscape(id)+"/withdraw", struct{}{}, "job "+id, &st)
}

// Wait polls a job until its status is final, and calls onChange, unless it is nil, with each new status.
// It keeps polling while no controller is available: an accepted job runs nevertheless. With an error, Wait
// returns the last status that it received.
func (c *Client) Wait(ctx context.Context, id string, onChange func(Status)) (Status, error) {
	var last Status
	for {
		st, err := c.Get(ctx, id)
		switch {
		case err == nil && st != last:
			last = st
			if onChange != nil {
				onChange(st)
			}
		case err != nil && !errors.Is(err, ErrUnavailable):
			return last, err
		}
		if last.IsFinal() {
			return last, nil
		}
		// Jitter keeps clients that started together from polling in step.
		if err := ctxtime.Sleep(ctx, c.PollInterval*3/4+rand.N(c.PollInterval/2+1)); err != nil {
			return last, err
		}
	}
}
