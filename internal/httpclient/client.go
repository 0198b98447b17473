// Package httpclient makes the outgoing HTTP calls. A client calls one address over long-lived
// connections; every call has a deadline and none is retried implicitly.
package httpclient

import (
	"net"
	"strconv"
	"time"

	"drumpick/internal/jsoncodec"

	"github.com/valyala/fasthttp"
)

const (
	jsonType = "application/json"
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
	// bufferBytes is the size of a connection's read and write buffers. It is small because there
	// are many connections and most messages are small.
	bufferBytes = 4096
)

// Client calls one address. It is safe for concurrent use.
type Client struct {
	host *fasthttp.HostClient
	// ClosePerCall closes the connection after each call. Without it, the clients of many rarely
	// called addresses would keep more connections open than there are sockets. It must be set
	// before the first call.
	ClosePerCall bool
}

// New returns a client of addr, a host:port, with at most maxConns connections over IPv4, each opened
// within dialTimeout. A call for which no connection is free fails at once. The client never
// retries a request: only the caller can decide whether a commit or a rental may be repeated.
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

// Addr returns the address that the client calls, as host:port.
func (c *Client) Addr() string { return c.host.Addr }

// Close closes idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Response is an HTTP response.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // from the Retry-After header; 0 if it is missing or not in seconds
}

// Do sends a request, with a body unless it is nil, and returns the status and body of the
// response, whatever the status. An error means that no complete response arrived by the deadline;
// the server may have executed the request.
func (c *Client) Do(method, uri, contentType string, body []byte, deadline time.Time) (int, []byte, error) {
	response, err := c.DoResponse(method, uri, contentType, body, deadline)
	return response.Status, response.Body, err
}

// DoResponse is like Do and returns the whole response.
func (c *Client) DoResponse(method, uri, contentType string, body []byte, deadline time.Time) (Response, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.host.Addr + uri)
	request.Header.SetMethod(method)
	if c.ClosePerCall {
		request.SetConnectionClose()
	}
	if body != nil {
		request.Header.SetContentType(contentType)
		request.SetBodyRaw(body)
	}
	if err := c.host.DoDeadline(request, response, deadline); err != nil {
		return Response{}, err
	}
	return Response{
		Status:     response.StatusCode(),
		Body:       append([]byte(nil), response.Body()...), // fasthttp reuses the response's buffer
		RetryAfter: parseRetryAfter(response.Header.Peek(fasthttp.HeaderRetryAfter)),
	}, nil
}

// parseRetryAfter parses a Retry-After header in seconds. It returns 0 for any other value.
func parseRetryAfter(header []byte) time.Duration {
	seconds, err := strconv.Atoi(string(header))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// DoJSON is like Do and encodes the body as JSON, unless it is nil. If it cannot be encoded, DoJSON
// returns the error and sends no request.
func (c *Client) DoJSON(method, uri string, body any, deadline time.Time) (int, []byte, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = jsoncodec.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	return c.Do(method, uri, jsonType, raw, deadline)
}
