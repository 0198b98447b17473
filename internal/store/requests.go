package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/records"
)

// pageSize is how many rows a page of a list has.
const pageSize = 500

// noSuchLease is the error by which the store refuses a commit that names an expired lease.
const noSuchLease = "no such lease"

// Bodies of requests and answers.
type (
	commitRequest struct {
		Compares []records.Compare `json:"when"`
		Ops      []records.Op      `json:"writes"`
	}
	leaseRequest struct {
		LifeMS int64 `json:"life_ms"`
	}
	leaseResponse struct {
		LeaseID uint64 `json:"hold"`
	}
	// revisionResponse answers a commit, and a read of an absent key.
	revisionResponse struct {
		Revision uint64 `json:"epoch"`
	}
	pageResponse struct {
		Rows     []records.KeyValue `json:"rows"`
		More     bool               `json:"more"`
		Revision uint64             `json:"epoch"`
	}
	watchResponse struct {
		Revision uint64          `json:"epoch"`
		Events   []records.Event `json:"log"`
	}
	errorResponse struct {
		Error string `json:"error"`
	}
)

// Get reads a key. It returns nil when the key is absent.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	status, body, err := c.sendWithRetries(ctx, request{method: http.MethodGet, uri: "/store/" + key})
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusNotFound:
		// Only the store's own 404, which has a revision, counts as absent.
		var answer struct {
			Revision *uint64 `json:"epoch"`
		}
		if json.Unmarshal(body, &answer) != nil || answer.Revision == nil {
			return nil, fmt.Errorf("%w: 404 without epoch", records.ErrUnexpected)
		}
		return nil, nil
	case http.StatusOK:
		var row records.KeyValue
		if err := json.Unmarshal(body, &row); err != nil || row.Key != key || row.Revision == 0 {
			return nil, fmt.Errorf("%w: bad row for %s", records.ErrUnexpected, key)
		}
		return &row, nil
	}
	return nil, fmt.Errorf("%w: %d for %s", records.ErrUnexpected, status, key)
}

// List calls each for every key under a prefix. The revision returned is that of the first
// page: a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	var revision uint64
	since := ""
	for {
		uri := "/store?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(pageSize)
		if since != "" {
			uri += "&since=" + url.QueryEscape(since)
		}
		status, body, err := c.sendWithRetries(ctx, request{method: http.MethodGet, uri: uri, shared: true})
		if err != nil {
			return 0, err
		}
		if status != http.StatusOK {
			return 0, fmt.Errorf("%w: %d for list %s", records.ErrUnexpected, status, prefix)
		}
		var page pageResponse
		if err := json.Unmarshal(body, &page); err != nil {
			return 0, fmt.Errorf("%w: %v", records.ErrUnexpected, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, row := range page.Rows {
			if err := each(row); err != nil {
				return 0, err
			}
			since = row.Key
		}
		if !page.More || len(page.Rows) == 0 {
			return revision, nil
		}
	}
}

// Commit applies the changes if all compares hold, and returns the revision. Where they do
// not, the error is a records.ConflictError.
func (c *Client) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	if compares == nil {
		compares = []records.Compare{} // the store takes no null
	}
	if ops == nil {
		ops = []records.Op{}
	}
	status, body, err := c.sendWithRetries(ctx, request{
		method: http.MethodPost,
		uri:    "/commit",
		body:   commitRequest{Compares: compares, Ops: ops},
		writes: len(ops),
	})
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		var answer revisionResponse
		if err := json.Unmarshal(body, &answer); err != nil || answer.Revision == 0 {
			// It was executed, but what came back is unreadable: treat it as unknown.
			return 0, fmt.Errorf("%w: unreadable commit answer", records.ErrUnknownOutcome)
		}
		return answer.Revision, nil
	case http.StatusConflict:
		var conflict records.ConflictError
		if err := json.Unmarshal(body, &conflict); err != nil {
			return 0, fmt.Errorf("%w: %v", records.ErrUnexpected, err)
		}
		return 0, &conflict
	case http.StatusBadRequest:
		var answer errorResponse
		_ = json.Unmarshal(body, &answer) // without a text it is invalid as well
		if answer.Error == noSuchLease {
			return 0, records.ErrLeaseExpired
		}
		return 0, fmt.Errorf("%w: %s", records.ErrInvalid, answer.Error)
	}
	return 0, fmt.Errorf("%w: %d for commit", records.ErrUnexpected, status)
}

// GrantLease obtains a lease of the given life and returns its id.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	status, body, err := c.sendWithRetries(ctx, request{
		method: http.MethodPost,
		uri:    "/grants",
		body:   leaseRequest{LifeMS: life.Milliseconds()},
	})
	if err != nil {
		return 0, err
	}
	var answer leaseResponse
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.LeaseID == 0 {
		return 0, fmt.Errorf("%w: %d for grant", records.ErrUnexpected, status)
	}
	return answer.LeaseID, nil
}

// RenewLease renews a lease. records.ErrLeaseExpired means that it has ended. A throttled
// renewal is not repeated here: the caller knows how much time is left.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64, timeout time.Duration) error {
	status, _, err := c.send(ctx, request{
		method: http.MethodPost,
		uri:    "/grants/" + strconv.FormatUint(leaseID, 10) + "/extend",
		body:   struct{}{},
	}, timeout)
	switch {
	case errors.Is(err, records.ErrThrottled):
		c.userRequests.recordThrottled(time.Now()) // users make room
		return err
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return records.ErrLeaseExpired
	}
	return fmt.Errorf("%w: %d for extend", records.ErrUnexpected, status)
}

// RevokeLease ends a lease. Nothing depends on its success: a lease that stays expires.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) {
	_, _, _ = c.send(ctx, request{
		method: http.MethodDelete,
		uri:    "/grants/" + strconv.FormatUint(leaseID, 10),
	}, c.timeout)
}

// Watch waits until something under a prefix changes after the given revision, or the wait is
// over. It returns the changes and the revision to go on from.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error) {
	uri := fmt.Sprintf("/watch?under=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	status, body, err := c.send(ctx, request{method: http.MethodGet, uri: uri}, wait+c.timeout)
	if err != nil {
		return nil, since, err
	}
	switch status {
	case http.StatusOK:
		var answer watchResponse
		if err := json.Unmarshal(body, &answer); err != nil || answer.Revision < since {
			return nil, since, fmt.Errorf("%w: unreadable watch answer", records.ErrUnexpected)
		}
		return answer.Events, answer.Revision, nil
	case http.StatusGone:
		return nil, since, records.ErrCompacted
	}
	return nil, since, fmt.Errorf("%w: %d for watch", records.ErrUnexpected, status)
}
