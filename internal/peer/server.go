package peer

import (
	"net/http"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Handlers handle the calls that a controller receives from its peers.
type Handlers struct {
	Status         func(StatusRequest) Status
	Progress       func(id string) Progress
	Relay          func(RelayRequest) RelayReply
	RelayHeartbeat func(HeartbeatRequest) RelayReply
	// RelayHeartbeats handles batches of heartbeats, as the leader; nil if batches are not supported.
	RelayHeartbeats func(HeartbeatBatch) HeartbeatBatchReply
	// NotifyCancelled handles the notification of a cancelled job, as the leader, and reports whether
	// it acknowledges the cancellation. If the handler is nil, the controller behaves like a version
	// that does not know the call.
	NotifyCancelled func(id string) bool
	// RelayOperatorRequest handles operators' requests; nil if they are not supported.
	RelayOperatorRequest func(RelayRequest) RelayReply
}

// Mount registers the handlers on the app that serves the controller's peer address.
func Mount(app *fiber.App, h Handlers) {
	// Versions without watermarks send a zero attestation, which has no effect.
	app.Post(pathStatus, handle(h.Status))
	app.Post(pathProgress, handle(func(request JobRequest) Progress { return h.Progress(request.ID) }))
	if h.NotifyCancelled != nil {
		app.Post(pathCancelled, handle(func(request JobRequest) CancelledReply {
			return CancelledReply{Acknowledged: h.NotifyCancelled(request.ID)}
		}))
	}
	app.Post(pathRelayHeartbeat, handle(h.RelayHeartbeat))
	if h.RelayHeartbeats != nil {
		app.Post(pathRelayHeartbeats, handle(h.RelayHeartbeats))
	}
	app.Post(pathRelay, handle(h.Relay))
	if h.RelayOperatorRequest != nil {
		app.Post(pathOperatorRequest, handle(h.RelayOperatorRequest))
	}
}

// handle returns a fiber handler that decodes a request, calls respond and encodes the reply. It
// responds to a malformed request with a 400.
func handle[Request, Reply any](respond func(Request) Reply) fiber.Handler {
	return func(c *fiber.Ctx) error {
		var request Request
		if err := msgpack.Unmarshal(c.Body(), &request); err != nil {
			return c.SendStatus(http.StatusBadRequest)
		}
		raw, err := msgpack.Marshal(respond(request))
		if err != nil {
			return err
		}
		c.Set(fiber.HeaderContentType, contentType)
		return c.Send(raw)
	}
}
