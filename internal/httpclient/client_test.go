package httpclient

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testTimeout is ample for a local call.
const testTimeout = 5 * time.Second

func TestDoJSONSendsBodyAndReadsResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(r.Method + " " + r.RequestURI + " " + r.Header.Get("Content-Type") + " " + string(body)))
	}))
	defer server.Close()
	client := New(strings.TrimPrefix(server.URL, "http://"), 1, testTimeout)
	status, body, err := client.DoJSON("POST", "/a?b=c", map[string]int{"n": 1}, time.Now().Add(testTimeout))
	if want := `POST /a?b=c application/json {"n":1}`; err != nil || status != http.StatusCreated || string(body) != want {
		t.Errorf("got %d %s, %v, want 201 %s", status, body, err, want)
	}
}

// A Retry-After header that is missing, negative or a date counts as 0.
func TestRetryAfterIsReadInSeconds(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 0, "3": 3 * time.Second, "0": 0, "-3": 0, "Wed, 21 Oct 2015 07:28:00 GMT": 0,
	} {
		if got := parseRetryAfter([]byte(header)); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}

// A server that closes connections without a response receives each request only once. A repeated
// commit or rental could be executed twice.
func TestFailedRequestIsNotRepeated(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_, _ = conn.Read(make([]byte, 1024))
			conn.Close()
		}
	}()
	client := New(listener.Addr().String(), 1, testTimeout)
	if _, _, err := client.Do("GET", "/", "", nil, time.Now().Add(testTimeout)); err == nil {
		t.Error("a request without a response returns no error")
	}
	if got := len(accepted); got != 1 {
		t.Errorf("the server received %d requests, want 1", got)
	}
}
