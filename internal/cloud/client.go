// Package cloud is the client of the cloud, where machines are rented by the second to scale
// out and returned to scale in.
//
// The errors are those of package autoscaler, which decides by them. The words of the cloud's
// protocol stand in paths and struct tags alone.
package cloud

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

const (
	// requestShare is the part of the cloud's rate that all calls take together, and
	// rentalShare the part that rentals take of it.
	requestShare = 0.9
	rentalShare  = 0.5
	// maxConnections bounds the connections to the cloud.
	maxConnections = 8
	// pageSize is how many machines a page of the list has.
	pageSize = 500
	// noCapacity is the error by which the cloud says that it has no such machines now.
	noCapacity = "no capacity"
)

// Client calls the cloud within its rate. It is safe for concurrent use.
type Client struct {
	http     *httpclient.Client
	requests *rate.Limiter // of all calls
	rentals  *rate.Limiter // of rentals, besides
	timeout  time.Duration
}

// NewClient returns a client that keeps to a share of the cloud's rate. Rentals have
// a smaller one: while the cloud refuses, they are tried again and again, and lists
// and returns, on which a failover waits, must not queue behind them.
func NewClient(addr string, rps float64, timeout time.Duration) *Client {
	return &Client{
		http:     httpclient.New(addr, maxConnections, timeout/2),
		requests: newLimiter(rps * requestShare),
		rentals:  newLimiter(rps * rentalShare),
		timeout:  timeout,
	}
}

// newLimiter returns a limiter with bursts of a second's worth, at least of one request.
func newLimiter(rps float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(rps), max(int(rps), 1)) }

// Bodies of requests and answers.
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

// call sends a request and reads the answer into out, unless that is nil.
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
		if err := json.Unmarshal(raw, out); err != nil {
			return fmt.Errorf("%w: %v", autoscaler.ErrUnexpected, err)
		}
		return nil
	case http.StatusTooManyRequests:
		return autoscaler.ErrUnavailable
	case http.StatusServiceUnavailable:
		var answer errorResponse
		_ = json.Unmarshal(raw, &answer) // without a text it is an outage
		if answer.Error == noCapacity {
			return autoscaler.ErrNoCapacity
		}
		return autoscaler.ErrUnavailable
	}
	return fmt.Errorf("%w: %d for %s", autoscaler.ErrUnexpected, status, uri)
}

// Types returns the types of machines that the cloud offers, at current prices.
func (c *Client) Types(ctx context.Context) ([]records.MachineType, error) {
	var answer records.MachineTypes
	if err := c.call(ctx, http.MethodGet, "/machine_types", nil, &answer); err != nil {
		return nil, err
	}
	for _, t := range answer.Types {
		if t.Name == "" || t.CPUs < 0 || t.MemGB < 0 || t.GPUs < 0 || t.StartupS < 0 || len(t.Zones) == 0 {
			return nil, fmt.Errorf("%w: machine type %q makes no sense", autoscaler.ErrUnexpected, t.Name)
		}
	}
	if len(answer.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", autoscaler.ErrUnexpected)
	}
	return answer.Types, nil
}

// Rent asks for machines and returns those rented, up to the count.
func (c *Client) Rent(ctx context.Context, request autoscaler.RentalRequest) ([]string, error) {
	if err := c.rentals.Wait(ctx); err != nil {
		return nil, err
	}
	var answer rentalResponse
	err := c.call(ctx, http.MethodPost, "/machines", request, &answer)
	return answer.Machines, err
}

// Return gives machines back; when it succeeds, they and all on them are gone.
func (c *Client) Return(ctx context.Context, machines []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", returnRequest{Machines: machines}, nil)
}

// List returns all rented machines.
func (c *Client) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	var all []autoscaler.CloudMachine
	since := ""
	for {
		uri := "/machines?limit=" + strconv.Itoa(pageSize)
		if since != "" {
			uri += "&since=" + url.QueryEscape(since)
		}
		var page pageResponse
		if err := c.call(ctx, http.MethodGet, uri, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		since = page.Machines[len(page.Machines)-1].Machine
	}
}
