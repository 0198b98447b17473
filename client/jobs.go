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

// Submit submits a job, until a controller answers, and reports whether the job was new. To submit
// a job again, by whomever, is no error.
func (c *Client) Submit(ctx context.Context, j Job) (st Status, created bool, err error) {
	response, err := c.requestWithRetry(ctx, http.MethodPost, "/work", j, c.RetryPolicy.SubmitTimeout)
	if err != nil {
		return st, false, fmt.Errorf("job %s: %w", j.ID, err)
	}
	return st, response.Status == http.StatusCreated, decode(response, &st)
}

// Get returns the status of a job.
func (c *Client) Get(ctx context.Context, id string) (Status, error) {
	var st Status
	return st, c.requestJSON(ctx, http.MethodGet, "/work/"+url.PathEscape(id), nil, "job "+id, &st)
}

// Cancel cancels a job and returns its final status, which is Done if it was done before.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	var st Status
	return st, c.requestJSON(ctx, http.MethodPost, "/work/"+url.PathEscape(id)+"/withdraw", struct{}{}, "job "+id, &st)
}

// Wait polls a job until its status is final, and calls tell, if it is not nil, with each change. It goes
// on while no controller answers, since a job that was accepted is run.
func (c *Client) Wait(ctx context.Context, id string, tell func(Status)) (Status, error) {
	var last Status
	for {
		st, err := c.Get(ctx, id)
		switch {
		case err == nil && st != last:
			last = st
			if tell != nil {
				tell(st)
			}
		case err != nil && !errors.Is(err, ErrUnavailable):
			return last, err
		}
		if last.IsFinal() {
			return last, nil
		}
		// The pause varies, so that clients which began together do not go on polling together.
		if err := ctxtime.Sleep(ctx, c.PollInterval*3/4+rand.N(c.PollInterval/2+1)); err != nil {
			return last, err
		}
	}
}
