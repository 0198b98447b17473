package scheduler

import (
	"encoding/json"
	"log/slog"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/records"
)

// ReadDrain reads what operators asked for from its record.
func ReadDrain(key string, value json.RawMessage) (drain.Spec, bool) {
	var s drain.Spec
	if err := json.Unmarshal(value, &s); err != nil || records.PrefixDrains+s.ID != key {
		slog.Error("unreadable record", "key", key, "err", err)
		return s, false
	}
	return s, true
}

const (
	// stateReports is how often, in report intervals, it is stored how a drain stands; a
	// change of its phase is stored at once.
	stateReports = 5
	// mostEnded is how many drains that are over stay on record: the operators' history of
	// them, whatever the number of machines.
	mostEnded = 50
)

// takeDrains gathers how drains stand, and says whether all fit.
func (r *Persistence) takeDrains(ws *[]PendingWrite, fits func(ops, bytes int) bool, now time.Time) bool {
	ended := 0
	for _, d := range r.core.drains {
		if d.spec.Stopped || d.state.Closed() {
			ended++
		}
	}
	for _, d := range r.core.drains {
		if d.state.Phase == "" || d.known && d.state.Same(&d.stored) ||
			d.known && d.state.Phase == d.stored.Phase && now.Sub(d.writtenAt) < stateReports*r.core.settings.HeartbeatInterval {
			continue
		}
		state, whole := d.state, d.state
		// It does not bound the machines in hand, which this leader knows. What does not fit
		// is worked out again by the next leader, which takes empty machines first: those are
		// mostly the ones in hand.
		for len(state.OutOfService) > 0 && records.EncodedSize(state) > r.valueBytes {
			state.OutOfService = state.OutOfService[:len(state.OutOfService)/2]
		}
		if !fits(1, records.EncodedSize(state)) {
			return false
		}
		d.writtenAt = now
		*ws = append(*ws, PendingWrite{
			Ops:    []records.Op{{Write: records.PrefixDrainState + d.spec.ID, Value: state}},
			OwnKey: records.PrefixDrainState + d.spec.ID, OwnRevision: &d.revision,
			OnStored: func(uint64) { d.stored, d.known = whole, true },
			OnTooLarge: func() {
				slog.Error("store: how a drain stands takes more than a value", "drain", d.spec.ID, "term", r.core.term)
				d.stored, d.known = whole, true
			},
		})
	}
	// The oldest that are over make room; ids are made from the time of day.
	for _, d := range r.core.drains {
		if ended <= mostEnded {
			break
		}
		if !(d.spec.Stopped || d.state.Closed()) || !d.known || !d.state.Same(&d.stored) {
			continue
		}
		if !fits(2, 500) {
			return false
		}
		ended--
		id := d.spec.ID
		*ws = append(*ws, PendingWrite{
			Ops:      []records.Op{{Delete: records.PrefixDrains + id}, {Delete: records.PrefixDrainState + id}},
			OnStored: func(uint64) { r.core.RemoveDrain(id) },
		})
	}
	return true
}

// ReplaceDrains takes in all drains that there are; others are gone.
func (s *Scheduler) ReplaceDrains(found map[string]drain.Spec) {
	var gone []string
	for _, d := range s.drains {
		if _, ok := found[d.spec.ID]; !ok {
			gone = append(gone, d.spec.ID)
		}
	}
	for _, id := range gone {
		s.RemoveDrain(id)
	}
	for _, spec := range found {
		s.SetDrain(spec, nil, 0)
	}
}

// PreviewDrainPage tells what a drain would do: of machines behind since with up to limit tasks,
// and in all.
func (s *Scheduler) PreviewDrainPage(spec *drain.Spec, force bool, since string, limit int, now time.Time) (*drain.Plan, error) {
	p, err := s.PreviewDrain(spec, force, now)
	if err != nil {
		return nil, err
	}
	list := p.Machines
	for len(list) > 0 && list[0].Machine <= since {
		list = list[1:]
	}
	for i := range list {
		if over := len(list[i].Tasks) - limit; over > 0 {
			list[i].Tasks, list[i].Others = list[i].Tasks[:limit], over
		}
		if limit -= len(list[i].Tasks) + 1; limit < 0 && i > 0 {
			list, p.More = list[:i], true
			break
		}
	}
	p.Machines = list
	return p, nil
}

// DrainView tells how a drain stands.
func (s *Scheduler) DrainView(id string) (DrainView, bool) {
	for _, d := range s.drains {
		if d.spec.ID == id {
			state := d.state
			return DrainView{d.spec, &state}, true
		}
	}
	return DrainView{}, false
}
