package operator

import (
	"context"
	"errors"
	"log/slog"
	"reflect"
	"strings"

	"drumpick/internal/ctxtime"
	"drumpick/internal/drain"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

func (s *Server) mountDrains(app *fiber.App) {
	app.Get("/operator/drains", func(c *fiber.Ctx) error {
		since := utils.CopyString(c.Query("since"))
		return sendJSON(c, s.withTimeout(func(ctx context.Context) peer.RelayReply { return s.listDrains(ctx, since) }))
	})
	app.Post("/operator/drains", func(c *fiber.Ctx) error {
		return sendJSON(c, s.withTimeout(func(ctx context.Context) peer.RelayReply { return s.startDrain(ctx, c.Body()) }))
	})
	app.Post("/operator/drains/plan", func(c *fiber.Ctx) error {
		request, reason := s.parseRequest(c.Body())
		if reason != "" {
			return sendJSON(c, errorResponse(fiber.StatusBadRequest, reason))
		}
		return sendJSON(c, s.planDrain(request))
	})
	app.Get("/operator/drains/:id", func(c *fiber.Ctx) error {
		id := utils.CopyString(c.Params("id"))
		return sendJSON(c, s.withTimeout(func(ctx context.Context) peer.RelayReply { return s.showDrain(ctx, id) }))
	})
	app.Post("/operator/drains/:id/stop", func(c *fiber.Ctx) error {
		id := utils.CopyString(c.Params("id"))
		return sendJSON(c, s.withTimeout(func(ctx context.Context) peer.RelayReply { return s.stopDrain(ctx, id) }))
	})
}

// withTimeout returns the reply of handle, called with a context that ends after the server's timeout.
func (s *Server) withTimeout(handle func(context.Context) peer.RelayReply) peer.RelayReply {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	return handle(ctx)
}

func noSuchDrainResponse(id string) peer.RelayReply {
	return errorResponse(fiber.StatusNotFound, "there is no drain "+id)
}

func unreadableRecordResponse(err error) peer.RelayReply {
	return errorResponse(fiber.StatusConflict, "its record is unreadable: "+err.Error())
}

// startDrain stores a drain if the leader can plan it. The request is idempotent: a repeated request
// returns the stored drain.
func (s *Server) startDrain(ctx context.Context, body []byte) peer.RelayReply {
	request, reason := s.parseRequest(body)
	if reason != "" {
		return errorResponse(fiber.StatusBadRequest, reason)
	}
	for {
		if reply, done := s.tryStartDrain(ctx, &request); done {
			return reply
		}
	}
}

// tryStartDrain makes one attempt to plan and store a drain. done is false if the caller has to retry:
// another drain was stored concurrently, or the leader had not read all stored drains.
func (s *Server) tryStartDrain(ctx context.Context, request *drainRequest) (reply peer.RelayReply, done bool) {
	stored, err := s.readStoredDrains(ctx, records.PrefixDrains+request.ID)
	if err != nil {
		return storeUnavailableResponse, true
	}
	request.Seen = stored.ids
	if stored.record != nil {
		return repeatedStartResponse(request.Spec, stored.record), true
	}
	switch planReply := s.planDrain(*request); planReply.Status {
	case fiber.StatusOK:
	case statusDrainUnread:
		if ctxtime.Sleep(ctx, s.timeout/20) == nil {
			return peer.RelayReply{}, false
		}
		return errorResponse(fiber.StatusServiceUnavailable, "the leader has not read all drains yet; please retry"), true
	default:
		return planReply, true
	}
	err = s.storeDrain(ctx, request.Spec, stored.sequence)
	var conflict *records.ConflictError
	switch {
	case err == nil:
		slog.Info("drain accepted", "drain", request.ID, "kind", request.Kind, "zone", request.Zone, "machines", len(request.Machines))
		return encodeJSON(fiber.StatusCreated, scheduler.DrainView{Spec: request.Spec}), true
	case errors.As(err, &conflict):
		return peer.RelayReply{}, false
	}
	return storeUnavailableResponse, true // the drain may have been stored; the operator's retry shows it
}

// storedDrains is what the store holds before a drain is planned.
type storedDrains struct {
	sequence uint64            // revision of the drain sequence (records.KeyDrainSequence); 0 if absent
	ids      []string          // ids of all drains
	record   *records.KeyValue // record of the planned drain, nil if it is not stored yet
}

// readStoredDrains reads the drain sequence and then all stored drains; key is the key of the planned
// drain. In this order, the list contains every drain that was stored up to the revision of the
// sequence, and the leader must have read all of these.
func (s *Server) readStoredDrains(ctx context.Context, key string) (storedDrains, error) {
	var stored storedDrains
	sequence, err := s.store.Get(ctx, records.KeyDrainSequence)
	if err != nil {
		return stored, err
	}
	if sequence != nil {
		stored.sequence = sequence.Revision
	}
	_, err = s.store.List(ctx, records.PrefixDrains, func(record records.KeyValue) error {
		stored.ids = append(stored.ids, strings.TrimPrefix(record.Key, records.PrefixDrains))
		if record.Key == key {
			stored.record = &record
		}
		return nil
	})
	return stored, err
}

// storeDrain stores a new drain if no drain was stored since the given revision of the drain sequence,
// and fails with a *records.ConflictError otherwise. Without this compare, two concurrent drains could
// be accepted that each leave enough machines, but not together.
func (s *Server) storeDrain(ctx context.Context, spec drain.Spec, sequence uint64) error {
	key := records.PrefixDrains + spec.ID
	_, err := s.store.Commit(ctx,
		[]records.Compare{{Key: key}, {Key: records.KeyDrainSequence, Revision: sequence}},
		[]records.Op{{Write: key, Value: spec}, {Write: records.KeyDrainSequence, Value: spec.ID}})
	return err
}

// repeatedStartResponse returns the response to the start of a drain whose id is already stored: the
// stored drain if the request is the same apart from its time, even if the drain was stopped since,
// and otherwise a 409.
func repeatedStartResponse(spec drain.Spec, record *records.KeyValue) peer.RelayReply {
	var stored drain.Spec
	if err := jsoncodec.Unmarshal(record.Value, &stored); err != nil {
		return unreadableRecordResponse(err)
	}
	expected := stored
	expected.RequestedMS, expected.Stopped = spec.RequestedMS, false
	if !reflect.DeepEqual(expected, spec) {
		return errorResponse(fiber.StatusConflict, "there is another drain of the id "+spec.ID)
	}
	return okResponse(scheduler.DrainView{Spec: stored})
}

// stopAttempts bounds the attempts to stop a drain whose record changes between the read and the
// commit.
const stopAttempts = 4

// stopDrain marks a stored drain as stopped. Stopping a stopped drain is no error.
func (s *Server) stopDrain(ctx context.Context, id string) peer.RelayReply {
	if !drain.ValidID(id) {
		return noSuchDrainResponse(id)
	}
	key := records.PrefixDrains + id
	for range stopAttempts {
		record, err := s.store.Get(ctx, key)
		switch {
		case err != nil:
			return storeUnavailableResponse
		case record == nil:
			return noSuchDrainResponse(id)
		}
		var spec drain.Spec
		if err := jsoncodec.Unmarshal(record.Value, &spec); err != nil {
			return unreadableRecordResponse(err)
		}
		if spec.Stopped {
			return okResponse(scheduler.DrainView{Spec: spec})
		}
		spec.Stopped = true
		_, err = s.store.Commit(ctx, []records.Compare{{Key: key, Revision: record.Revision}}, []records.Op{{Write: key, Value: spec}})
		var conflict *records.ConflictError
		switch {
		case err == nil:
			slog.Info("drain stopped", "drain", id)
			return okResponse(scheduler.DrainView{Spec: spec})
		case !errors.As(err, &conflict):
			return storeUnavailableResponse
		}
	}
	return storeUnavailableResponse
}

// maxListedNames is the maximum number of machines that listDrains names per drain in each of Machines
// and OutOfService; showDrain names all.
const maxListedNames = 3

// listDrains returns a page of the stored drains whose ids sort after since, with their states. It logs and
// skips records that it cannot decode.
func (s *Server) listDrains(ctx context.Context, since string) peer.RelayReply {
	states, err := s.readDrainStates(ctx)
	if err != nil {
		return storeUnavailableResponse
	}
	drains := []scheduler.DrainView{}
	if _, err := s.store.List(ctx, records.PrefixDrains, func(record records.KeyValue) error {
		var spec drain.Spec
		if strings.TrimPrefix(record.Key, records.PrefixDrains) <= since {
			return nil
		}
		if err := jsoncodec.Unmarshal(record.Value, &spec); err != nil {
			slog.Error("unreadable record", "key", record.Key, "err", err)
			return nil
		}
		spec.Machines = spec.Machines[:min(len(spec.Machines), maxListedNames)]
		state := states[spec.ID]
		if state != nil {
			state.OutOfService = state.OutOfService[:min(len(state.OutOfService), maxListedNames)]
		}
		drains = append(drains, scheduler.DrainView{Spec: spec, State: state})
		return nil
	}); err != nil {
		return storeUnavailableResponse
	}
	return okResponse(drainsPage(drains))
}

// readDrainStates reads the states of all drains, by the drain's id. It skips states that it cannot
// decode.
func (s *Server) readDrainStates(ctx context.Context) (map[string]*drain.State, error) {
	states := map[string]*drain.State{}
	_, err := s.store.List(ctx, records.PrefixDrainState, func(record records.KeyValue) error {
		var state drain.State
		if jsoncodec.Unmarshal(record.Value, &state) == nil {
			states[strings.TrimPrefix(record.Key, records.PrefixDrainState)] = &state
		}
		return nil
	})
	return states, err
}

// showDrain returns one drain as the leader knows it or, if the leader does not return it, as stored.
func (s *Server) showDrain(ctx context.Context, id string) peer.RelayReply {
	if !drain.ValidID(id) {
		return noSuchDrainResponse(id)
	}
	if reply := s.AskLeader(peer.RelayRequest{Method: methodDrain, ID: id}); reply.Status == fiber.StatusOK {
		return reply
	}
	record, err := s.store.Get(ctx, records.PrefixDrains+id)
	switch {
	case err != nil:
		return storeUnavailableResponse
	case record == nil:
		return noSuchDrainResponse(id)
	}
	var view scheduler.DrainView
	if err := jsoncodec.Unmarshal(record.Value, &view.Spec); err != nil {
		return unreadableRecordResponse(err)
	}
	if stateRecord, err := s.store.Get(ctx, records.PrefixDrainState+id); err == nil && stateRecord != nil {
		var state drain.State
		if jsoncodec.Unmarshal(stateRecord.Value, &state) == nil {
			view.State = &state
		}
	}
	cutDrain(&view)
	return okResponse(view)
}
