// Package cloud talks to the cloud, which rents machines by the second.
package cloud

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"

	"golang.org/x/time/rate"
)

// Client calls the cloud within its rate.
type Client struct {
	link    *httpclient.Client
	limit   *rate.Limiter
	rents   *rate.Limiter // besides: what rentals may take of it
	timeout time.Duration
}

// Shares of the cloud's rate: all calls together, and rentals among them.
const (
	allShare  = 0.9
	rentShare = 0.5
)

// NewClient returns a client that keeps to a share of the cloud's rate. Rentals have
// a smaller one: while the cloud refuses, they are tried again and again, and lists
// and returns, on which a takeover waits, must not queue behind them.
func NewClient(addr string, rps float64, timeout time.Duration) *Client {
	limiter := func(r float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(r), max(int(r), 1)) }
	return &Client{
		link:    httpclient.New(addr, 8, timeout/2),
		limit:   limiter(rps * allShare),
		rents:   limiter(rps * rentShare),
		timeout: timeout,
	}
}

func (c *Client) call(ctx context.Context, method, uri string, body any, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return err
	}
	status, raw, err := c.link.JSON(method, uri, body, time.Now().Add(c.timeout))
	if err != nil {
		return fmt.Errorf("%w: %s %s: %v", autoscaler.ErrUnknownOutcome, method, uri, err)
	}
	switch status {
	case 200:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(raw, out); err != nil {
			return fmt.Errorf("%w: %v", autoscaler.ErrUnexpected, err)
		}
		return nil
	case 429:
		return autoscaler.ErrUnavailable
	case 503:
		var e struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(raw, &e)
		if e.Error == "no capacity" {
			return autoscaler.ErrNoCapacity
		}
		return autoscaler.ErrUnavailable
	}
	return fmt.Errorf("%w: %d for %s", autoscaler.ErrUnexpected, status, uri)
}

// Types reads what the cloud offers, at current prices.
func (c *Client) Types(ctx context.Context) ([]records.MachineType, error) {
	var t records.MachineTypes
	if err := c.call(ctx, "GET", "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	for _, x := range t.Types {
		if x.Name == "" || x.CPUs < 0 || x.MemGB < 0 || x.GPUs < 0 || x.StartupS < 0 || len(x.Zones) == 0 {
			return nil, fmt.Errorf("%w: machine type %q makes no sense", autoscaler.ErrUnexpected, x.Name)
		}
	}
	if len(t.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", autoscaler.ErrUnexpected)
	}
	return t.Types, nil
}

// Rent asks for machines and returns those rented, up to the count.
func (c *Client) Rent(ctx context.Context, r autoscaler.RentalRequest) ([]string, error) {
	var out struct {
		Hosts []string `json:"hosts"`
	}
	if err := c.rents.Wait(ctx); err != nil {
		return nil, err
	}
	err := c.call(ctx, "POST", "/machines", r, &out)
	return out.Hosts, err
}

// Return gives machines back; when it succeeds, they and all on them are gone.
func (c *Client) Return(ctx context.Context, hosts []string) error {
	return c.call(ctx, "POST", "/machines/return", map[string][]string{"hosts": hosts}, nil)
}

// List reads the whole list of machines.
func (c *Client) List(ctx context.Context) ([]autoscaler.CloudMachine, error) {
	var all []autoscaler.CloudMachine
	since := ""
	for {
		var page struct {
			Hosts []autoscaler.CloudMachine `json:"hosts"`
			More  bool                      `json:"more"`
		}
		uri := "/machines?limit=500"
		if since != "" {
			uri += "&since=" + url.QueryEscape(since)
		}
		if err := c.call(ctx, "GET", uri, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Hosts...)
		if !page.More || len(page.Hosts) == 0 {
			return all, nil
		}
		since = page.Hosts[len(page.Hosts)-1].Machine
	}
}
