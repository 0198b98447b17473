// Package link makes the outgoing HTTP calls: long-lived connections to one
// address each, a deadline on every call, and no repeating behind the caller's back.
package httpclient

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Client calls one address.
type Client struct {
	hc *fasthttp.HostClient
	// Once closes the connection after each call: where there are more addresses
	// than sockets, and a call to each now and then.
	ClosePerCall bool
}

// New returns a client with at most conns connections. It never repeats a request
// by itself: whether to repeat a commit or a rental is for the caller to decide.
func New(addr string, conns int, dial time.Duration) *Client {
	d := &net.Dialer{Timeout: dial, KeepAlive: -1}
	return &Client{hc: &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  conns,
		MaxIdleConnDuration:       time.Minute,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		ReadBufferSize:            4096,
		WriteBufferSize:           4096,
		Dial:                      func(a string) (net.Conn, error) { return d.Dial("tcp4", a) },
	}}
}

// Addr is the address called.
func (c *Client) Addr() string { return c.hc.Addr }

// Close closes the connections that are not in use.
func (c *Client) Close() { c.hc.CloseIdleConnections() }

// Response is what came back.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // 0 where the answer names none
}

// Do sends a request, with a body unless raw is nil, and returns the answer.
func (c *Client) Do(method, uri, contentType string, raw []byte, deadline time.Time) (int, []byte, error) {
	a, err := c.DoResponse(method, uri, contentType, raw, deadline)
	return a.Status, a.Body, err
}

// DoResponse is Do with all that the answer says.
func (c *Client) DoResponse(method, uri, contentType string, raw []byte, deadline time.Time) (Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.hc.Addr + uri)
	req.Header.SetMethod(method)
	if c.ClosePerCall {
		req.SetConnectionClose()
	}
	if raw != nil {
		req.Header.SetContentType(contentType)
		req.SetBodyRaw(raw)
	}
	if err := c.hc.DoDeadline(req, resp, deadline); err != nil {
		return Response{}, err
	}
	a := Response{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	if after := resp.Header.Peek("Retry-After"); len(after) > 0 {
		if s, err := strconv.Atoi(string(after)); err == nil && s > 0 {
			a.RetryAfter = time.Duration(s) * time.Second
		}
	}
	return a, nil
}

// JSON sends a request whose body, if any, is written as JSON.
func (c *Client) JSON(method, uri string, body any, deadline time.Time) (int, []byte, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	return c.Do(method, uri, "application/json", raw, deadline)
}
