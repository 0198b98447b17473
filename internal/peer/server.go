package peer

import (
	"net/http"

	"github.com/gofiber/fiber/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Handlers are what a controller answers its peers with.
type Handlers struct {
	Status         func(StatusRequest) Status
	Progress       func(id string) Progress
	Relay          func(RelayRequest) RelayReply
	RelayHeartbeat func(HeartbeatRequest) RelayReply
	// RelayHeartbeats takes in batches, as the leader; nil where none are relayed.
	RelayHeartbeats func(HeartbeatBatch) HeartbeatBatchReply
	// NotifyCancelled takes in a cancellation, as the leader; nil: like a version that does not know it.
	NotifyCancelled func(id string) bool
	// RelayOperatorRequest answers operators' requests; nil where operators are not served.
	RelayOperatorRequest func(RelayRequest) RelayReply
}

// Mount serves the handlers on the back address.
func Mount(app *fiber.App, h Handlers) {
	// Versions without watermarks send an attestation that says nothing.
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

// handle reads a request and writes the reply to it.
func handle[Request, Reply any](answer func(Request) Reply) fiber.Handler {
	return func(c *fiber.Ctx) error {
		var request Request
		if err := msgpack.Unmarshal(c.Body(), &request); err != nil {
			return c.SendStatus(http.StatusBadRequest)
		}
		raw, err := msgpack.Marshal(answer(request))
		if err != nil {
			return err
		}
		c.Set(fiber.HeaderContentType, contentType)
		return c.Send(raw)
	}
}
