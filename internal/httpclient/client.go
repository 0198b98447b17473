// Package httpclient makes the outgoing HTTP calls: long-lived connections to one address
// each, a deadline on every call, and no retries behind the caller's back.
package httpclient

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	jsonType = "application/json"
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
	// bufferBytes is the size of a connection's read and write buffers: there are many
	// connections, and most messages are small.
	bufferBytes = 4096
)

// Client calls one address. It is safe for concurrent use.
type Client struct {
	host *fasthttp.HostClient
	// ClosePerCall closes the connection after each call: where there are more addresses
	// than sockets, and a call to each now and then. It is set before the first call.
	ClosePerCall bool
}

// New returns a client of the address with at most maxConns connections, which take up to
// dialTimeout to open. It never repeats a request by itself: whether to repeat a commit or a
// rental is for the caller to decide.
func New(addr string, maxConns int, dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{host: &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		ReadBufferSize:            bufferBytes,
		WriteBufferSize:           bufferBytes,
		Dial:                      func(a string) (net.Conn, error) { return dialer.Dial("tcp4", a) },
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Addr returns the address called.
func (c *Client) Addr() string { return c.host.Addr }

// Close closes the connections that are not in use.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Response is an answer.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // 0 where the answer names none
}

// Do sends a request, with a body unless it is nil, and returns the status and body of the
// answer.
func (c *Client) Do(method, uri, contentType string, body []byte, deadline time.Time) (int, []byte, error) {
	response, err := c.DoResponse(method, uri, contentType, body, deadline)
	return response.Status, response.Body, err
}

// DoResponse is Do with all that the answer says.
func (c *Client) DoResponse(method, uri, contentType string, body []byte, deadline time.Time) (Response, error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + c.host.Addr + uri)
	request.Header.SetMethod(method)
	if c.ClosePerCall {
		request.SetConnectionClose()
	}
	if body != nil {
		request.Header.SetContentType(contentType)
		request.SetBodyRaw(body)
	}
	if err := c.host.DoDeadline(request, answer, deadline); err != nil {
		return Response{}, err
	}
	return Response{
		Status:     answer.StatusCode(),
		Body:       append([]byte(nil), answer.Body()...), // the answer's buffer is used again
		RetryAfter: parseRetryAfter(answer.Header.Peek(fasthttp.HeaderRetryAfter)),
	}, nil
}

// parseRetryAfter reads a Retry-After header in seconds; 0 where it says nothing usable.
func parseRetryAfter(header []byte) time.Duration {
	seconds, err := strconv.Atoi(string(header))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// DoJSON sends a request whose body, unless it is nil, is written as DoJSON.
func (c *Client) DoJSON(method, uri string, body any, deadline time.Time) (int, []byte, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	return c.Do(method, uri, jsonType, raw, deadline)
}
