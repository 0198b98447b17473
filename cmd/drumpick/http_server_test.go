package main

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/messagesize"
	"drumpick/internal/peer"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a request that ends the process: a handler that panics fails with a 500 that does not
// show the cause, and the server serves further requests.
func TestPanicOfHandlerFailsOnlyItsRequest(t *testing.T) {
	app := newApp(messagesize.Max, 16, time.Minute)
	app.Get("/panic", func(*fiber.Ctx) error {
		var tasks []int
		return fiber.NewError(200, string(rune(tasks[0])))
	})
	app.Get("/ready", func(c *fiber.Ctx) error { return c.SendStatus(200) })
	for path, want := range map[string]int{"/panic": 500, "/ready": 200, "/missing": 404} {
		response, err := app.Test(httptest.NewRequest("GET", path, nil), -1)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		body, _ := io.ReadAll(response.Body)
		if response.StatusCode != want || strings.Contains(string(body), "index out of range") {
			t.Errorf("%s: got status %d with %q, want %d", path, response.StatusCode, body, want)
		}
	}
}

// Guards against a compressed body that takes all memory of the process: 64 KiB can decode to
// gigabytes. No handler sees the body of a request with a Content-Encoding, whatever the header's case.
func TestEncodedBodyIsRejected(t *testing.T) {
	app := newApp(messagesize.Max, 16, time.Minute)
	longest := 0
	app.Post("/work", func(c *fiber.Ctx) error {
		longest = max(longest, len(c.Body()))
		return c.SendStatus(201)
	})
	decoded := make([]byte, 8<<20)
	for encodings, body := range map[string][]byte{
		"gzip":           fasthttp.AppendGzipBytes(nil, decoded),
		"br":             fasthttp.AppendBrotliBytes(nil, decoded),
		"deflate":        fasthttp.AppendDeflateBytes(nil, decoded),
		"identity, gzip": fasthttp.AppendGzipBytes(nil, decoded),
		"|gzip":          fasthttp.AppendGzipBytes(nil, decoded), // two headers, the first one empty
	} {
		for _, header := range []string{"Content-Encoding", "content-encoding", "CONTENT-ENCODING"} {
			request := httptest.NewRequest("POST", "/work", bytes.NewReader(body))
			request.Header[header] = strings.Split(encodings, "|")
			response, err := app.Test(request, -1)
			if err != nil || response.StatusCode != fiber.StatusUnsupportedMediaType {
				t.Errorf("%s %s: got %v, %v, want status 415", header, encodings, response, err)
			}
		}
	}
	if longest > 64<<10 {
		t.Errorf("a handler got a body of %d bytes, want at most 64 KiB", longest)
	}
}

// Guards against a relay that fails for the largest requests: relayed, a request is longer than the one
// that a worker or user sent. A batch with a heartbeat that its leader rejects as too large fails as a
// whole, and failed batches suspend the relay for all workers.
func TestLargestRequestsAreRelayed(t *testing.T) {
	cfg := &config.Config{Node: "n-0", Options: config.DefaultOptions()}
	cfg.Options.HeartbeatRelay = true
	app := newDaemon(cfg).newPeerApp()
	body := bytes.Repeat([]byte("x"), messagesize.Max)
	for path, message := range map[string]any{
		"/peer/relay":    peer.RelayRequest{Method: peer.MethodSubmitWithDependencies, ID: strings.Repeat("9", 4000), Body: body},
		"/peer/checkin":  peer.HeartbeatRequest{Body: body},
		"/peer/checkins": peer.HeartbeatBatch{From: strings.Repeat("n", 200), Zone: strings.Repeat("z", 200), DelayMS: 1 << 60, Heartbeats: [][]byte{body}},
	} {
		raw, err := msgpack.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		response, err := app.Test(httptest.NewRequest("POST", path, bytes.NewReader(raw)), -1)
		if err != nil || response.StatusCode != 200 {
			t.Errorf("%s: got %v, %v for %d bytes, want status 200", path, response, err, len(raw))
		}
	}
}
