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
	Method      string          `json:"method"`
	URI         string          `json:"uri"`
	ContentType string          `json:"content_type,omitempty"`
	Request     json.RawMessage `json:"request,omitempty"`
	Status      int             `json:"status"`
	AnswerType  string          `json:"answer_type,omitempty"` // the answer's Content-Type
	RetryAfter  string          `json:"retry_after,omitempty"` // the answer's Retry-After
	Answer      json.RawMessage `json:"answer,omitempty"`
}

// msgpackType is the content type of bodies that stand in a golden file as hexadecimal text.
const msgpackType = "application/msgpack"

// body returns a body as an Exchange has it: what is no JSON stands as text.
func body(raw []byte, contentType string) json.RawMessage {
	var compact bytes.Buffer
	if len(raw) == 0 {
		return nil
	}
	if contentType == msgpackType {
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

// Peer is the server of a client under test. It answers each request with the answer that is prepared, and keeps the
// exchange.
type Peer struct {
	Addr string
	// Forward, where set, gives the answers in place of those that are prepared.
	Forward func(*http.Request) (*http.Response, error)

	mu       sync.Mutex
	prepared []Exchange
	got      []Exchange
}

// NewPeer starts a server that ends with the test.
func NewPeer(t *testing.T) *Peer {
	t.Helper()
	p := &Peer{}
	s := httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(s.Close)
	p.Addr = s.Listener.Addr().String()
	return p
}

// serve answers with what is prepared, or with what Forward returns.
func (p *Peer) serve(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body) // a request that is cut off shows in its body
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Forward != nil {
		p.forwardLocked(w, r, raw)
		return
	}
	x := Exchange{Status: http.StatusInternalServerError}
	if n := len(p.got); n < len(p.prepared) {
		x.Status, x.Answer = p.prepared[n].Status, p.prepared[n].Answer
	}
	x.Method, x.URI, x.ContentType, x.Request = r.Method, r.RequestURI, r.Header.Get("Content-Type"), body(raw, "")
	p.got = append(p.got, x)
	w.WriteHeader(x.Status)
	_, _ = w.Write(x.Answer)
}

// forwardLocked answers with what Forward returns.
func (p *Peer) forwardLocked(w http.ResponseWriter, r *http.Request, raw []byte) {
	r.Body = io.NopCloser(bytes.NewReader(raw))
	resp, err := p.Forward(r)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body) // an answer that is cut off shows in its body
	kind, answerKind := r.Header.Get("Content-Type"), resp.Header.Get("Content-Type")
	p.got = append(p.got, Exchange{
		Method: r.Method, URI: r.RequestURI, ContentType: kind, Request: body(raw, kind),
		Status: resp.StatusCode, AnswerType: answerKind, Answer: body(answer, answerKind),
	})
	w.Header().Set("Content-Type", answerKind)
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

// Answer prepares an answer: a status and a body.
func (p *Peer) Answer(status int, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prepared = append(p.prepared, Exchange{Status: status, Answer: json.RawMessage(text)})
}

// Exchanges returns what was asked and answered since the last call.
func (p *Peer) Exchanges() []Exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	got := p.got
	p.got, p.prepared = nil, nil
	return got
}

// Do sends a request to a handler's test function and returns the exchange.
func Do(t *testing.T, test func(*http.Request) (*http.Response, error), method, uri, text string) Exchange {
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
		Method: method, URI: uri, Request: body([]byte(text), ""), Status: resp.StatusCode,
		AnswerType: resp.Header.Get("Content-Type"), RetryAfter: resp.Header.Get("Retry-After"), Answer: body(raw, ""),
	}
}
