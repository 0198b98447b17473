package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/messagesize"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp/fasthttputil"
)

// A body over 64 KiB is rejected by its Content-Length, before the body is sent.
func TestBodyOverLimitIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := newApp(messagesize.Max, 16, time.Minute)
	app.Post("/work", func(c *fiber.Ctx) error { return c.SendStatus(201) })
	go func() { _ = app.Listener(listener) }()
	defer func() { _ = app.Shutdown() }()
	for length, want := range map[int]string{64 << 10: "201", 64<<10 + 1: "413"} {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /work HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", length)
		if want == "201" {
			fmt.Fprint(conn, strings.Repeat("x", length))
		}
		line := make([]byte, 12)
		if _, err := io.ReadFull(conn, line); err != nil || !strings.HasSuffix(string(line), want) {
			t.Errorf("%d bytes: got %q, %v, want status %s", length, line, err, want)
		}
		conn.Close()
	}
}

// Guards against abandoned connections that exhaust the file descriptors: an idle connection is
// closed after the idle timeout, in simulated time, and a connection that keeps sending requests
// stays open.
func TestIdleConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		app := newApp(messagesize.Max, 16, 12*time.Second)
		app.Get("/ready", func(c *fiber.Ctx) error { return c.SendStatus(200) })
		listener := fasthttputil.NewInmemoryListener()
		go func() { _ = app.Server().Serve(listener) }()
		app.Handler() // initializes the routes, as app.Listener does
		conn, err := listener.Dial()
		if err != nil {
			t.Fatal(err)
		}
		request := func() error {
			if _, err := fmt.Fprint(conn, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				return err
			}
			_, err := conn.Read(make([]byte, 1024))
			return err
		}
		for range 5 {
			if err := request(); err != nil {
				t.Fatalf("request on a connection in use: got %v, want an answer", err)
			}
			time.Sleep(8 * time.Second)
		}
		time.Sleep(8 * time.Second)
		if err := request(); err == nil {
			t.Error("request on an idle connection: got an answer, want it closed")
		}
		listener.Close()
		_ = conn.Close()
		time.Sleep(time.Hour)
	})
}
