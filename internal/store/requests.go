package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// pageSize is the maximum number of records in a page of a list.
const pageSize = 500

// noSuchLease is the store's error text for a commit that names an expired lease.
const noSuchLease = "no such lease"

// Bodies of requests and responses.
type (
	commitRequest struct {
		Compares []records.Compare `json:"when"`
		Ops      []records.Op      `json:"writes"`
	}
	leaseRequest struct {
		TTLMS int64 `json:"life_ms"`
	}
	leaseResponse struct {
		LeaseID uint64 `json:"hold"`
	}
	// revisionResponse is the response to a commit.
	revisionResponse struct {
		Revision uint64 `json:"epoch"`
	}
	pageResponse struct {
		Records  []records.KeyValue `json:"rows"`
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

// Get reads the record of a key. It returns nil without an error if the key is absent.
func (c *Client) Get(ctx context.Context, key string) (*records.KeyValue, error) {
	status, body, err := c.sendWithRetries(ctx, request{method: http.MethodGet, uri: "/store/" + key})
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusNotFound:
		// Only a 404 by the store itself, which has a revision, means that the key is absent.
		var response struct {
			Revision *uint64 `json:"epoch"`
		}
		if jsoncodec.Unmarshal(body, &response) != nil || response.Revision == nil {
			return nil, fmt.Errorf("%w: 404 response without epoch", records.ErrUnexpected)
		}
		return nil, nil
	case http.StatusOK:
		var record records.KeyValue
		if err := jsoncodec.Unmarshal(body, &record); err != nil || record.Key != key || record.Revision == 0 {
			return nil, fmt.Errorf("%w: invalid record for key %s", records.ErrUnexpected, key)
		}
		return &record, nil
	}
	return nil, fmt.Errorf("%w: status %d for key %s", records.ErrUnexpected, status, key)
}

// List calls each for the record of every key under a prefix, page by page, and stops at the first
// error. It returns the revision of the first page: a watch from that revision misses no change.
func (c *Client) List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error) {
	var revision uint64
	cursor := ""
	for {
		uri := "/store?under=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(pageSize)
		if cursor != "" {
			uri += "&since=" + url.QueryEscape(cursor)
		}
		status, body, err := c.sendWithRetries(ctx, request{method: http.MethodGet, uri: uri, shared: true})
		if err != nil {
			return 0, err
		}
		if status != http.StatusOK {
			return 0, fmt.Errorf("%w: status %d for list of %s", records.ErrUnexpected, status, prefix)
		}
		var page pageResponse
		if err := jsoncodec.Unmarshal(body, &page); err != nil {
			return 0, fmt.Errorf("%w: %v", records.ErrUnexpected, err)
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, record := range page.Records {
			if err := each(record); err != nil {
				return 0, err
			}
			cursor = record.Key
		}
		if !page.More || len(page.Records) == 0 {
			return revision, nil
		}
	}
}

// Commit applies the operations in one transaction if all compares hold, and returns the new revision.
// If a compare fails, nothing is applied and the error is a *records.ConflictError.
func (c *Client) Commit(ctx context.Context, compares []records.Compare, ops []records.Op) (uint64, error) {
	if compares == nil {
		compares = []records.Compare{} // the store rejects null
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
		var response revisionResponse
		if err := jsoncodec.Unmarshal(body, &response); err != nil || response.Revision == 0 {
			// The store has applied the operations, but the revision is unknown.
			return 0, fmt.Errorf("%w: malformed commit response", records.ErrUnknownOutcome)
		}
		return response.Revision, nil
	case http.StatusConflict:
		var conflict records.ConflictError
		if err := jsoncodec.Unmarshal(body, &conflict); err != nil {
			return 0, fmt.Errorf("%w: %v", records.ErrUnexpected, err)
		}
		return 0, &conflict
	case http.StatusBadRequest:
		var response errorResponse
		_ = jsoncodec.Unmarshal(body, &response) // a 400 without an error text means ErrInvalid, too
		if response.Error == noSuchLease {
			return 0, records.ErrLeaseExpired
		}
		return 0, fmt.Errorf("%w: %s", records.ErrInvalid, response.Error)
	}
	return 0, fmt.Errorf("%w: status %d for commit", records.ErrUnexpected, status)
}

// GrantLease obtains a lease with the given time to live and returns the id of the lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	status, body, err := c.sendWithRetries(ctx, request{
		method: http.MethodPost,
		uri:    "/grants",
		body:   leaseRequest{TTLMS: ttl.Milliseconds()},
	})
	if err != nil {
		return 0, err
	}
	var response leaseResponse
	if status != http.StatusOK || jsoncodec.Unmarshal(body, &response) != nil || response.LeaseID == 0 {
		return 0, fmt.Errorf("%w: status %d for lease grant", records.ErrUnexpected, status)
	}
	return response.LeaseID, nil
}

// RenewLease renews a lease. records.ErrLeaseExpired means that the lease has expired. A throttled
// renewal is not retried here because only the caller knows how long the lease still lasts.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64, timeout time.Duration) error {
	status, _, err := c.send(ctx, request{
		method: http.MethodPost,
		uri:    "/grants/" + strconv.FormatUint(leaseID, 10) + "/extend",
		body:   struct{}{},
	}, timeout)
	switch {
	case errors.Is(err, records.ErrThrottled):
		c.userRequests.recordThrottled(time.Now()) // leaves more of the rate to the next renewal
		return err
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return records.ErrLeaseExpired
	}
	return fmt.Errorf("%w: status %d for lease renewal", records.ErrUnexpected, status)
}

// RevokeLease revokes a lease. Errors are ignored: a lease that is not revoked expires.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) {
	_, _, _ = c.send(ctx, request{
		method: http.MethodDelete,
		uri:    "/grants/" + strconv.FormatUint(leaseID, 10),
	}, c.timeout)
}

// Watch blocks until a key under a prefix changes after revision since, or until wait is over. It
// returns the changes and the revision from which to watch next, which is since in case of an error.
// records.ErrCompacted means that the store no longer has the changes after since.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]records.Event, uint64, error) {
	uri := fmt.Sprintf("/watch?under=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	status, body, err := c.send(ctx, request{method: http.MethodGet, uri: uri}, wait+c.timeout)
	if err != nil {
		return nil, since, err
	}
	switch status {
	case http.StatusOK:
		var response watchResponse
		if err := jsoncodec.Unmarshal(body, &response); err != nil || response.Revision < since {
			return nil, since, fmt.Errorf("%w: malformed watch response", records.ErrUnexpected)
		}
		return response.Events, response.Revision, nil
	case http.StatusGone:
		return nil, since, records.ErrCompacted
	}
	return nil, since, fmt.Errorf("%w: status %d for watch", records.ErrUnexpected, status)
}
