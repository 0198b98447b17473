package scheduler

import (
	"encoding/json"
	"log/slog"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/records"
)

// ReadDrain decodes a drain from its record. It logs an unreadable record and returns false.
func ReadDrain(key string, value json.RawMessage) (drain.Spec, bool) {
	var s drain.Spec
	if err := json.Unmarshal(value, &s); err != nil || records.PrefixDrains+s.ID != key {
		slog.Error("unreadable record", "key", key, "err", err)
		return s, false
	}
	return s, true
}

const (
	// stateWriteIntervals is the minimum time between two writes of a drain's state, in heartbeat
	// intervals. A change of phase is written at once.
	stateWriteIntervals = 5
	// maxEndedDrains is the number of ended drains that stay on record as history for operators,
	// independent of the number of machines.
	maxEndedDrains = 50
	// bytesPerDrainRemoval is the size of a drain's removal in a commit.
	bytesPerDrainRemoval = 500
)

// appendDrainWrites appends the writes of changed drain states and the removal of the oldest ended
// drains to a batch. It returns false if the batch is full.
func (p *Persistence) appendDrainWrites(b *writeBatch, now time.Time) bool {
	for _, d := range p.scheduler.drains.list {
		if d.stateDue(stateWriteIntervals*p.scheduler.settings.HeartbeatInterval, now) && !p.appendDrainStateWrite(d, b, now) {
			return false
		}
	}
	return p.appendDrainRemovals(b)
}

// ended reports whether a drain is stopped or complete.
func (d *activeDrain) ended() bool { return d.spec.Stopped || d.state.Closed() }

// isStored reports whether the store has the drain's current state.
func (d *activeDrain) isStored() bool { return d.hasStored && d.state.EqualIgnoringTerm(&d.stored) }

// stateDue reports whether the state of a drain has to be written now.
func (d *activeDrain) stateDue(interval time.Duration, now time.Time) bool {
	if d.state.Phase == "" || d.isStored() {
		return false
	}
	samePhase := d.hasStored && d.state.Phase == d.stored.Phase
	return !samePhase || now.Sub(d.writtenAt) >= interval
}

// appendDrainStateWrite appends the write of a drain's state to a batch; false if it does not fit.
// Machines out of service that exceed the size of a value are left out: this leader has them in
// memory, and the next one selects again, empty machines first, which are mostly the same ones.
func (p *Persistence) appendDrainStateWrite(d *activeDrain, b *writeBatch, now time.Time) bool {
	state, complete := d.state, d.state
	for len(state.OutOfService) > 0 && records.EncodedSize(state) > p.maxValueBytes {
		state.OutOfService = state.OutOfService[:len(state.OutOfService)/2]
	}
	if !b.tryReserve(1, records.EncodedSize(state)) {
		return false
	}
	d.writtenAt = now
	b.add(PendingWrite{
		Ops:           []records.Op{{Write: records.PrefixDrainState + d.spec.ID, Value: state}},
		GuardKey:      records.PrefixDrainState + d.spec.ID,
		GuardRevision: &d.revision,
		OnStored:      func(uint64) { d.stored, d.hasStored = complete, true },
		OnTooLarge: func() {
			slog.Error("drain state too large for the store", "drain", d.spec.ID, "term", p.scheduler.term)
			d.stored, d.hasStored = complete, true
		},
	})
	return true
}

// appendDrainRemovals appends the removal of the oldest ended drains to a batch; false if it is full.
// The drains are sorted by id, which is the order of their creation.
func (p *Persistence) appendDrainRemovals(b *writeBatch) bool {
	ended := 0
	for _, d := range p.scheduler.drains.list {
		if d.ended() {
			ended++
		}
	}
	for _, d := range p.scheduler.drains.list {
		if ended <= maxEndedDrains {
			break
		}
		if !d.ended() || !d.isStored() {
			continue
		}
		if !b.tryReserve(2, bytesPerDrainRemoval) {
			return false
		}
		ended--
		id := d.spec.ID
		b.add(PendingWrite{
			Ops:      []records.Op{{Delete: records.PrefixDrains + id}, {Delete: records.PrefixDrainState + id}},
			OnStored: func(uint64) { p.scheduler.RemoveDrain(id) },
		})
	}
	return true
}

// ReplaceDrains replaces the known drains by those on record.
func (s *Scheduler) ReplaceDrains(found map[string]drain.Spec) {
	var removed []string
	for _, d := range s.drains.list {
		if _, ok := found[d.spec.ID]; !ok {
			removed = append(removed, d.spec.ID)
		}
	}
	for _, id := range removed {
		s.RemoveDrain(id)
	}
	for _, spec := range found {
		s.SetDrain(spec, nil, 0)
	}
}

// PreviewDrainPage returns the plan of a drain with one page of machines: those whose names follow
// since, with up to limit tasks and machines in total.
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
			list[i].Tasks, list[i].OmittedTasks = list[i].Tasks[:limit], over
		}
		if limit -= len(list[i].Tasks) + 1; limit < 0 && i > 0 {
			list, p.Truncated = list[:i], true
			break
		}
	}
	p.Machines = list
	return p, nil
}

// DrainView returns a drain with its state, and false if there is no drain with that id.
func (s *Scheduler) DrainView(id string) (DrainView, bool) {
	for _, d := range s.drains.list {
		if d.spec.ID == id {
			state := d.state
			return DrainView{d.spec, &state}, true
		}
	}
	return DrainView{}, false
}
