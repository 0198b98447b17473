package main

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Guards against a request that ends the process: a handler that panics fails with a 500 that does not
// show the cause, and the server serves further requests.
func TestPanicOfHandlerFailsOnlyItsRequest(t *testing.T) {
	app := newApp(16, time.Minute)
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
