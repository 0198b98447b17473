package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"time"

	"drumpick/internal/ctxtime"
	"drumpick/internal/drain"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"
)

// Store is what operators need of the state service.
type Store interface {
	Get(ctx context.Context, key string) (*records.KeyValue, error)
	List(ctx context.Context, prefix string, each func(records.KeyValue) error) (uint64, error)
	Commit(ctx context.Context, when []records.Compare, ops []records.Op) (uint64, error)
}

// request is a drain as operators ask for it.
type request struct {
	drain.Spec
	Force bool   `json:"force,omitempty"` // though no machine is left for some jobs
	Since string `json:"since,omitempty"` // of a plan: the last machine of the page before
	// Seen names the drains beside which a new one is planned; a leader that has not read
	// them all cannot say whether both together leave enough.
	Seen []string `json:"seen,omitempty"`
}

// Drains are those on record.
type Drains struct {
	Drains []scheduler.DrainView `json:"drains"`
}

// pageTasks is of how many tasks a plan tells at a time, so that a line of it stays below
// 64 KiB. The rest comes in further pages; the sums are of all.
const pageTasks = 250

func (s *Server) mountDrains(app *fiber.App) {
	app.Get("/operator/drains", func(c *fiber.Ctx) error { return send(c, s.within(s.list)) })
	app.Post("/operator/drains", func(c *fiber.Ctx) error {
		return send(c, s.within(func(ctx context.Context) peer.RelayReply { return s.start(ctx, c.Body()) }))
	})
	app.Post("/operator/drains/plan", func(c *fiber.Ctx) error {
		in, why := s.read(c.Body())
		if why != "" {
			return send(c, answer(400, failure{why}))
		}
		return send(c, s.plan(in))
	})
	app.Get("/operator/drains/:id", func(c *fiber.Ctx) error {
		id := utils.CopyString(c.Params("id"))
		return send(c, s.within(func(ctx context.Context) peer.RelayReply { return s.show(ctx, id) }))
	})
	app.Post("/operator/drains/:id/stop", func(c *fiber.Ctx) error {
		id := utils.CopyString(c.Params("id"))
		return send(c, s.within(func(ctx context.Context) peer.RelayReply { return s.stop(ctx, id) }))
	})
}

// within bounds a request.
func (s *Server) within(do func(context.Context) peer.RelayReply) peer.RelayReply {
	ctx, cancel := context.WithTimeout(context.Background(), s.wait)
	defer cancel()
	return do(ctx)
}

var storeUnavailable = answer(503, failure{"the state service does not answer now; please retry"})

// read takes a request in, and says what is wrong with it.
func (s *Server) read(body []byte) (request, string) {
	var in request
	if err := json.Unmarshal(body, &in); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return in, wrong.Field + ": has the wrong type"
		}
		return in, "the body is not a JSON object"
	}
	in.BeganMS = time.Now().UnixMilli()
	if err := in.Check(time.Now()); err != nil {
		return in, err.Error()
	}
	return in, s.tooLarge(in.Spec)
}

// mostSpec bounds a drain's record where a value holds more: the request for it, and the one
// that passes it on to the leader along with the ids of all drains on record, must each fit
// the 64 KiB of a request.
const mostSpec = 48 << 10

// tooLarge says why a drain does not fit its record, "" if it does.
func (s *Server) tooLarge(spec drain.Spec) string {
	limit := min(s.valueBytes, mostSpec)
	// Guards against a drain that fits and can't be withdrawn, as its record grows by that.
	spec.Stopped = true
	size := records.EncodedSize(spec)
	if size <= limit {
		return ""
	}
	left, fit := size, len(spec.Machines)
	for fit > 0 && left > limit {
		fit--
		left -= records.EncodedSize(spec.Machines[fit]) + len(",")
	}
	if fit == 0 {
		return fmt.Sprintf("its record takes %d bytes, and a value of the state service holds %d: shorten machines, type, zone, version, to_version or window.rule", size, limit)
	}
	return fmt.Sprintf("machines: %d names, and only the first %d fit a record of %d bytes; say it by type, zone, older_than_s or version, or by several drains",
		len(spec.Machines), fit, limit)
}

func (s *Server) plan(in request) peer.RelayReply {
	raw, err := json.Marshal(in)
	if err != nil {
		return answer(400, failure{err.Error()})
	}
	return s.Answer(peer.RelayRequest{Method: "plan", Body: raw})
}

// start puts a drain on record. The same request again, under its id, is answered as the
// first one was.
func (s *Server) start(ctx context.Context, body []byte) peer.RelayReply {
	in, why := s.read(body)
	if why != "" {
		return answer(400, failure{why})
	}
	key := records.PrefixDrains + in.ID
	for {
		// In this order: what is on record at the turn, the leader has to have read.
		var stamp uint64
		turn, err := s.store.Get(ctx, records.KeyDrainSequence)
		if err != nil {
			return storeUnavailable
		}
		if turn != nil {
			stamp = turn.Revision
		}
		in.Seen = in.Seen[:0]
		var row *records.KeyValue
		if _, err := s.store.List(ctx, records.PrefixDrains, func(r records.KeyValue) error {
			if in.Seen = append(in.Seen, strings.TrimPrefix(r.Key, records.PrefixDrains)); r.Key == key {
				row = &r
			}
			return nil
		}); err != nil {
			return storeUnavailable
		}
		if row != nil {
			return answerRepeated(in.Spec, row)
		}
		// Whether it can be, the leader knows; it changes nothing.
		if out := s.plan(in); out.Status == statusUnread && ctxtime.Sleep(ctx, s.wait/20) == nil {
			continue
		} else if out.Status == statusUnread {
			return answer(503, failure{"the leader has not read all drains yet; please retry"})
		} else if out.Status != 200 {
			return out
		}
		// Guards against two drains asked for in the same moment, each of which leaves enough
		// without the other.
		_, err = s.store.Commit(ctx, []records.Compare{{Key: key}, {Key: records.KeyDrainSequence, Revision: stamp}},
			[]records.Op{{Write: key, Value: in.Spec}, {Write: records.KeyDrainSequence, Value: in.ID}})
		var conflict *records.ConflictError
		switch {
		case err == nil:
			slog.Info("drain accepted", "drain", in.ID, "kind", in.Kind, "zone", in.Zone, "machines", len(in.Machines))
			return answer(201, scheduler.DrainView{Spec: in.Spec})
		case !errors.As(err, &conflict):
			return storeUnavailable // it may have been stored: the retry finds out
		}
	}
}

// statusUnread is a leader's answer, to controllers alone, that it has not read a drain
// beside which it is to plan another.
const statusUnread = 425

// answerRepeated answers a request for a drain that is on record.
func answerRepeated(spec drain.Spec, row *records.KeyValue) peer.RelayReply {
	var old drain.Spec
	if err := json.Unmarshal(row.Value, &old); err != nil {
		return answer(409, failure{"its record is unreadable: " + err.Error()})
	}
	same := old
	same.BeganMS, same.Stopped = spec.BeganMS, false
	if !reflect.DeepEqual(same, spec) {
		return answer(409, failure{"there is another drain of the id " + spec.ID})
	}
	return answer(200, scheduler.DrainView{Spec: old})
}

// stop withdraws a drain; one that is withdrawn already is no error.
func (s *Server) stop(ctx context.Context, id string) peer.RelayReply {
	if !drain.ValidID(id) {
		return answer(404, failure{"there is no drain " + id})
	}
	key := records.PrefixDrains + id
	for range 4 {
		row, err := s.store.Get(ctx, key)
		switch {
		case err != nil:
			return storeUnavailable
		case row == nil:
			return answer(404, failure{"there is no drain " + id})
		}
		var spec drain.Spec
		if err := json.Unmarshal(row.Value, &spec); err != nil {
			return answer(409, failure{"its record is unreadable: " + err.Error()})
		}
		if spec.Stopped {
			return answer(200, scheduler.DrainView{Spec: spec})
		}
		spec.Stopped = true
		_, err = s.store.Commit(ctx, []records.Compare{{Key: key, Revision: row.Revision}}, []records.Op{{Write: key, Value: spec}})
		var conflict *records.ConflictError
		switch {
		case err == nil:
			slog.Info("drain stopped", "drain", id)
			return answer(200, scheduler.DrainView{Spec: spec})
		case !errors.As(err, &conflict):
			return storeUnavailable
		}
	}
	return storeUnavailable
}

// list tells of all drains on record.
func (s *Server) list(ctx context.Context) peer.RelayReply {
	states := map[string]*drain.State{}
	if _, err := s.store.List(ctx, records.PrefixDrainState, func(r records.KeyValue) error {
		var st drain.State
		if json.Unmarshal(r.Value, &st) == nil {
			states[strings.TrimPrefix(r.Key, records.PrefixDrainState)] = &st
		}
		return nil
	}); err != nil {
		return storeUnavailable
	}
	out := Drains{Drains: []scheduler.DrainView{}}
	if _, err := s.store.List(ctx, records.PrefixDrains, func(r records.KeyValue) error {
		var spec drain.Spec
		if err := json.Unmarshal(r.Value, &spec); err != nil {
			slog.Error("unreadable record", "key", r.Key, "err", err)
			return nil
		}
		spec.Machines = spec.Machines[:min(len(spec.Machines), mostListed)]
		if st := states[spec.ID]; st != nil {
			st.Hand = st.Hand[:min(len(st.Hand), mostListed)]
		}
		out.Drains = append(out.Drains, scheduler.DrainView{Spec: spec, State: states[spec.ID]})
		return nil
	}); err != nil {
		return storeUnavailable
	}
	return answer(200, out)
}

// mostListed is how many names a list shows of a drain; one by itself shows all.
const mostListed = 3

// show tells of one drain, as the leader knows it or, where none answers, as it is on record.
func (s *Server) show(ctx context.Context, id string) peer.RelayReply {
	if !drain.ValidID(id) {
		return answer(404, failure{"there is no drain " + id})
	}
	if out := s.Answer(peer.RelayRequest{Method: "drain", ID: id}); out.Status == 200 {
		return out
	}
	row, err := s.store.Get(ctx, records.PrefixDrains+id)
	switch {
	case err != nil:
		return storeUnavailable
	case row == nil:
		return answer(404, failure{"there is no drain " + id})
	}
	var v scheduler.DrainView
	if err := json.Unmarshal(row.Value, &v.Spec); err != nil {
		return answer(409, failure{"its record is unreadable: " + err.Error()})
	}
	if row, err := s.store.Get(ctx, records.PrefixDrainState+id); err == nil && row != nil {
		var st drain.State
		if json.Unmarshal(row.Value, &st) == nil {
			v.State = &st
		}
	}
	return answer(200, v)
}

// decideDrain answers as the leader.
func decideDrain(l Local, r peer.RelayRequest) peer.RelayReply {
	if r.Method == "drain" {
		if v, ok := l.Drain(r.ID); ok {
			return answer(200, v)
		}
		return answer(404, failure{"there is no drain " + r.ID})
	}
	var in request
	if err := json.Unmarshal(r.Body, &in); err != nil {
		return answer(400, failure{err.Error()})
	}
	for _, id := range in.Seen {
		if _, ok := l.Drain(id); !ok {
			return answer(statusUnread, failure{"the leader has not read the drain " + id})
		}
	}
	p, err := l.PreviewDrain(&in.Spec, in.Force, in.Since, pageTasks)
	var none *scheduler.NoMachineError
	var left *scheduler.NoCapacityLeftError
	switch {
	case errors.As(err, &none):
		return answer(404, failure{err.Error()})
	case errors.As(err, &left):
		return answer(409, failure{err.Error()})
	case err != nil:
		return answer(503, failure{err.Error()})
	}
	return answer(200, p)
}
