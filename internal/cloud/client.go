// Package cloud is the client of the cloud API, by which the leader rents machines by the second to
// scale out and returns machines to scale in.
//
// Its errors are those of package autoscaler, which decides by them whether to retry. The names in the
// cloud's protocol appear only in paths and struct tags.
package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/httpclient"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

const (
	// requestShare is the share of the cloud's rate limit that all calls together may use, and
	// rentalShare the share of the rate limit that rentals may use.
	requestShare = 0.9
	rentalShare  = 0.5
	// maxConnections bounds the connections to the cloud.
	maxConnections = 8
	// pageSize is the maximum number of machines in a page of the list of machines.
	pageSize = 500
	// noCapacity is the cloud's error text if no machine of the requested type is available.
	noCapacity = "no capacity"
)

// Client calls the cloud within its rate limit. It is safe for concurrent use.
type Client struct {
	http     *httpclient.Client
	requests *rate.Limiter // for all calls
	rentals  *rate.Limiter // for rentals, in addition
	timeout  time.Duration // of a call, without the wait for the rate limits
}

// NewClient returns a client that uses a share of rps, the cloud's rate limit in requests per second.
// Rentals have a smaller share: they are retried while the cloud rejects them, and lists and returns
// must not queue behind rentals because a failover waits for lists and returns.
func NewClient(addr string, rps float64, timeout time.Duration) *Client {
	return &Client{
		http:     httpclient.New(addr, maxConnections, timeout/2),
		requests: newLimiter(rps * requestShare),
		rentals:  newLimiter(rps * rentalShare),
		timeout:  timeout,
	}
}

// newLimiter returns a limiter for rps requests per second. A burst is at most the requests of one
// second, or one request if rps is lower than 1.
func newLimiter(rps float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(rps), max(int(rps), 1)) }

// Bodies of requests and responses.
type (
	rentalResponse struct {
		Machines []string `json:"hosts"`
	}
	returnRequest struct {
		Machines []string `json:"hosts"`
	}
	pageResponse struct {
		Machines []autoscaler.CloudMachine `json:"hosts"`
		More     bool                      `json:"more"`
	}
	errorResponse struct {
		Error string `json:"error"`
	}
)

// call waits for the rate limit, sends a request, and decodes the response body into out, unless out is
// nil. ctx bounds only the wait; the request itself has the client's timeout.
func (c *Client) call(ctx context.Context, method, uri string, body, out any) error {
	if err := c.requests.Wait(ctx); err != nil {
		return err
	}
	status, raw, err := c.http.DoJSON(method, uri, body, time.Now().Add(c.timeout))
	if err != nil {
		return fmt.Errorf("%w: %s %s: %v", autoscaler.ErrUnknownOutcome, method, uri, err)
	}
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := jsoncodec.Unmarshal(raw, out); err != nil {
			return fmt.Errorf("%w: %v", autoscaler.ErrUnexpected, err)
		}
		return nil
	case http.StatusTooManyRequests:
		return autoscaler.ErrUnavailable
	case http.StatusServiceUnavailable:
		var response errorResponse
		_ = jsoncodec.Unmarshal(raw, &response) // a 503 without a text means ErrUnavailable
		if response.Error == noCapacity {
			return autoscaler.ErrNoCapacity
		}
		return autoscaler.ErrUnavailable
	}
	return fmt.Errorf("%w: status %d for %s", autoscaler.ErrUnexpected, status, uri)
}

// Types returns the machine types that the cloud offers, at current prices.
func (c *Client) Types(ctx context.Context) ([]records.MachineType, error) {
	var response records.MachineTypes
	if err := c.call(ctx, http.MethodGet, "/machine_types", nil, &response); err != nil {
		return nil, err
	}
	for _, t := range response.Types {
		if t.Name == "" || t.CPUs < 0 || t.MemGB < 0 || t.GPUs < 0 || t.StartupS < 0 || len(t.Zones) == 0 {
			return nil, fmt.Errorf("%w: invalid machine type %q", autoscaler.ErrUnexpected, t.Name)
		}
	}
	if len(response.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", autoscaler.ErrUnexpected)
	}
	return response.Types, nil
}

// Rent rents machines and returns their names, at most request.Count.
func (c *Client) Rent(ctx context.Context, request autoscaler.RentalRequest) ([]string, error) {
	if err := c.rentals.Wait(ctx); err != nil {
		return nil, err
	}
	var response rentalResponse
	err := c.call(ctx, http.MethodPost, "/machines", request, &response)
	return response.Machines, err
}

// Return returns machines to the cloud. Once it succeeds, the machines no longer exist, nor do the
// tasks and data on them.
func (c *Client) Return(ctx context.Context, machines []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", returnRequest{Machines: machines}, nil)
}

// List returns all rented machines, page by page.
func (c *Client) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	var all []autoscaler.CloudMachine
	cursor := ""
	for {
		uri := "/machines?limit=" + strconv.Itoa(pageSize)
		if cursor != "" {
			uri += "&since=" + url.QueryEscape(cursor)
		}
		var page pageResponse
		if err := c.call(ctx, http.MethodGet, uri, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		cursor = page.Machines[len(page.Machines)-1].Machine
	}
}
