package main

import (
	"errors"
	"time"

	"drumpick/internal/recovery"

	"github.com/gofiber/fiber/v2"
	recoverer "github.com/gofiber/fiber/v2/middleware/recover"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4096

// newApp returns an HTTP server for request bodies of up to bodyLimit bytes and up to the given number of
// connections, at least minConnections. It closes a connection that has been idle for idleTimeout.
// Otherwise the connections that workers abandoned after a hang or a network partition would
// eventually exhaust the file descriptors. A panic of a handler fails only its request, with a 500.
func newApp(bodyLimit, connections int, idleTimeout time.Duration) *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             bodyLimit,
		Concurrency:           max(connections, minConnections),
		ReadBufferSize:        bufferBytes,
		WriteBufferSize:       bufferBytes,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           idleTimeout,
		ReduceMemoryUsage:     true,
		ErrorHandler:          sendError,
	})
	app.Use(recoverer.New(recoverer.Config{EnableStackTrace: true, StackTraceHandler: reportPanic}))
	app.Use(rejectEncodedBody)
	return app
}

// rejectEncodedBody responds with a 415 to a request with a Content-Encoding. The limit on the body
// counts the encoded bytes, and fiber decodes the body without a limit: a body of 64 KiB could take all
// memory of the process.
func rejectEncodedBody(c *fiber.Ctx) error {
	for _, encoding := range c.Request().Header.PeekAll(fiber.HeaderContentEncoding) {
		if len(encoding) > 0 {
			return fiber.ErrUnsupportedMediaType
		}
	}
	return c.Next()
}

func reportPanic(c *fiber.Ctx, cause any) { recovery.Report(c.Method()+" "+c.Route().Path, cause) }

// sendError sends the response to a request whose handler returned an error. The text of an error other
// than the server's own, such as a panic, is not shown to the caller.
func sendError(c *fiber.Ctx, err error) error {
	var serverErr *fiber.Error
	if !errors.As(err, &serverErr) {
		err = fiber.ErrInternalServerError
	}
	return fiber.DefaultErrorHandler(c, err)
}
