package goldentest

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
)

// Exchange is an HTTP request and its response, as stored in a golden file. encodeBody describes the format of the
// bodies.
type Exchange struct {
	Method       string          `json:"method"`
	URI          string          `json:"uri"`
	RequestType  string          `json:"content_type,omitempty"` // Content-Type header of the request
	Request      json.RawMessage `json:"request,omitempty"`
	Status       int             `json:"status"`
	ResponseType string          `json:"answer_type,omitempty"` // Content-Type header of the response
	RetryAfter   string          `json:"retry_after,omitempty"` // Retry-After header of the response; only DoRequest sets it
	Response     json.RawMessage `json:"answer,omitempty"`
}

// msgpackContentType is the content type of bodies that a golden file stores in hexadecimal.
const msgpackContentType = "application/msgpack"

// encodeBody returns a body as an Exchange stores it: a body of type msgpackContentType as a hexadecimal string, compact
// JSON unchanged, and any other body as a string. It returns nil for an empty body.
func encodeBody(raw []byte, contentType string) json.RawMessage {
	var compact bytes.Buffer
	if len(raw) == 0 {
		return nil
	}
	if contentType == msgpackContentType {
		return fmt.Appendf(nil, "%q", hex.EncodeToString(raw))
	}
	if json.Compact(&compact, raw) == nil && bytes.Equal(compact.Bytes(), raw) {
		return raw
	}
	text, _ := json.Marshal(string(raw)) // never fails for a string
	return text
}

// CheckExchange reports a test error if an exchange differs from the file's entry with the given name.
func (f *File) CheckExchange(t *testing.T, name string, x Exchange) {
	t.Helper()
	f.checkValue(t, name, x)
}

// CheckExchanges reports a test error if there are not n exchanges, or if they differ from the file's entry with the
// given name.
func (f *File) CheckExchanges(t *testing.T, name string, xs []Exchange, n int) {
	t.Helper()
	if len(xs) != n {
		t.Errorf("%d requests, want %d", len(xs), n)
	}
	f.checkValue(t, name, xs)
}

// checkValue reports a test error if the JSON encoding of a value differs from the file's entry with the given name.
func (f *File) checkValue(t *testing.T, name string, v any) {
	t.Helper()
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		t.Fatal(err)
	}
	f.Check(t, name, bytes.TrimSpace(out.Bytes()), true)
}

// FakeServer is an HTTP server for a client under test. It sends queued responses, or status 500 if the queue is
// exhausted, and records each exchange.
type FakeServer struct {
	Addr string // host:port
	// Forward, if set, returns the responses in place of the queued ones. If it returns an error, the server responds
	// with status 500 and does not record the exchange.
	Forward func(*http.Request) (*http.Response, error)

	mu        sync.Mutex
	queued    []Exchange // responses, by index of the request since the last TakeExchanges
	exchanges []Exchange // since the last TakeExchanges
}

// NewFakeServer starts a server, which is closed at the end of the test.
func NewFakeServer(t *testing.T) *FakeServer {
	t.Helper()
	s := &FakeServer{}
	httpServer := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(httpServer.Close)
	s.Addr = httpServer.Listener.Addr().String()
	return s
}

// serve handles a request with the next queued response or with Forward, and records the exchange.
func (s *FakeServer) serve(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body) // a truncated request shows in the recorded body
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Forward != nil {
		s.forwardLocked(w, r, raw)
		return
	}
	x := Exchange{Status: http.StatusInternalServerError}
	if n := len(s.exchanges); n < len(s.queued) {
		x.Status, x.Response = s.queued[n].Status, s.queued[n].Response
	}
	x.Method, x.URI, x.RequestType, x.Request = r.Method, r.RequestURI, r.Header.Get("Content-Type"), encodeBody(raw, "")
	s.exchanges = append(s.exchanges, x)
	w.WriteHeader(x.Status)
	_, _ = w.Write(x.Response)
}

// forwardLocked handles a request with Forward and records the exchange. The caller must hold s.mu.
func (s *FakeServer) forwardLocked(w http.ResponseWriter, r *http.Request, raw []byte) {
	r.Body = io.NopCloser(bytes.NewReader(raw))
	resp, err := s.Forward(r)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer resp.Body.Close()
	response, _ := io.ReadAll(resp.Body) // a truncated response shows in the recorded body
	requestType, responseType := r.Header.Get("Content-Type"), resp.Header.Get("Content-Type")
	s.exchanges = append(s.exchanges, Exchange{
		Method: r.Method, URI: r.RequestURI, RequestType: requestType, Request: encodeBody(raw, requestType),
		Status: resp.StatusCode, ResponseType: responseType, Response: encodeBody(response, responseType),
	})
	w.Header().Set("Content-Type", responseType)
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(response)
}

// QueueResponse adds a response to the queue.
func (s *FakeServer) QueueResponse(status int, responseBody string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, Exchange{Status: status, Response: json.RawMessage(responseBody)})
}

// TakeExchanges returns the exchanges since its last call, and clears the queue of responses.
func (s *FakeServer) TakeExchanges() []Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.exchanges
	s.exchanges, s.queued = nil, nil
	return got
}

// DoRequest passes a request to the handler under test by calling send, and returns the exchange.
func DoRequest(t *testing.T, send func(*http.Request) (*http.Response, error), method, uri, requestBody string) Exchange {
	t.Helper()
	req := httptest.NewRequest(method, uri, bytes.NewBufferString(requestBody))
	resp, err := send(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return Exchange{
		Method: method, URI: uri, Request: encodeBody([]byte(requestBody), ""), Status: resp.StatusCode,
		ResponseType: resp.Header.Get("Content-Type"), RetryAfter: resp.Header.Get("Retry-After"), Response: encodeBody(raw, ""),
	}
}
