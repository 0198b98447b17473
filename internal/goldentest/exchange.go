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

// Exchange is an HTTP request and its answer, as a golden file has them.
type Exchange struct {
	Method       string          `json:"method"`
	URI          string          `json:"uri"`
	RequestType  string          `json:"content_type,omitempty"`
	Request      json.RawMessage `json:"request,omitempty"`
	Status       int             `json:"status"`
	ResponseType string          `json:"answer_type,omitempty"` // the answer's Content-Type
	RetryAfter   string          `json:"retry_after,omitempty"` // the answer's Retry-After
	Response     json.RawMessage `json:"answer,omitempty"`
}

// msgpackContentType is the content type of bodies that stand in a golden file as hexadecimal text.
const msgpackContentType = "application/msgpack"

// encodeBody returns a body as an Exchange has it: what is no JSON stands as text.
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
	text, _ := json.Marshal(string(raw)) // a string always is
	return text
}

// CheckExchange compares a request and its answer with an entry.
func (f *File) CheckExchange(t *testing.T, name string, x Exchange) {
	t.Helper()
	f.checkValue(t, name, x)
}

// CheckExchanges compares requests and their answers, of which there must be n, with an entry.
func (f *File) CheckExchanges(t *testing.T, name string, xs []Exchange, n int) {
	t.Helper()
	if len(xs) != n {
		t.Errorf("%d requests, want %d", len(xs), n)
	}
	f.checkValue(t, name, xs)
}

// checkValue compares a value, encoded as JSON, with an entry.
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

// FakeServer is the server of a client under test. It answers each request with the answer that is prepared, and keeps the
// exchange.
type FakeServer struct {
	Addr string
	// Forward, where set, gives the answers in place of those that are prepared.
	Forward func(*http.Request) (*http.Response, error)

	mu        sync.Mutex
	queued    []Exchange
	exchanges []Exchange
}

// NewFakeServer starts a server that ends with the test.
func NewFakeServer(t *testing.T) *FakeServer {
	t.Helper()
	p := &FakeServer{}
	s := httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(s.Close)
	p.Addr = s.Listener.Addr().String()
	return p
}

// serve answers with what is prepared, or with what Forward returns.
func (p *FakeServer) serve(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body) // a request that is cut off shows in its body
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Forward != nil {
		p.forwardLocked(w, r, raw)
		return
	}
	x := Exchange{Status: http.StatusInternalServerError}
	if n := len(p.exchanges); n < len(p.queued) {
		x.Status, x.Response = p.queued[n].Status, p.queued[n].Response
	}
	x.Method, x.URI, x.RequestType, x.Request = r.Method, r.RequestURI, r.Header.Get("Content-Type"), encodeBody(raw, "")
	p.exchanges = append(p.exchanges, x)
	w.WriteHeader(x.Status)
	_, _ = w.Write(x.Response)
}

// forwardLocked answers with what Forward returns.
func (p *FakeServer) forwardLocked(w http.ResponseWriter, r *http.Request, raw []byte) {
	r.Body = io.NopCloser(bytes.NewReader(raw))
	resp, err := p.Forward(r)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body) // an answer that is cut off shows in its body
	kind, answerKind := r.Header.Get("Content-Type"), resp.Header.Get("Content-Type")
	p.exchanges = append(p.exchanges, Exchange{
		Method: r.Method, URI: r.RequestURI, RequestType: kind, Request: encodeBody(raw, kind),
		Status: resp.StatusCode, ResponseType: answerKind, Response: encodeBody(answer, answerKind),
	})
	w.Header().Set("Content-Type", answerKind)
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

// QueueResponse prepares an answer: a status and a body.
func (p *FakeServer) QueueResponse(status int, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued = append(p.queued, Exchange{Status: status, Response: json.RawMessage(text)})
}

// TakeExchanges returns what was asked and answered since the last call.
func (p *FakeServer) TakeExchanges() []Exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := p.exchanges
	p.exchanges, p.queued = nil, nil
	return got
}

// DoRequest sends a request to a handler's test function and returns the exchange.
func DoRequest(t *testing.T, test func(*http.Request) (*http.Response, error), method, uri, text string) Exchange {
	t.Helper()
	req := httptest.NewRequest(method, uri, bytes.NewBufferString(text))
	resp, err := test(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return Exchange{
		Method: method, URI: uri, Request: encodeBody([]byte(text), ""), Status: resp.StatusCode,
		ResponseType: resp.Header.Get("Content-Type"), RetryAfter: resp.Header.Get("Retry-After"), Response: encodeBody(raw, ""),
	}
}
