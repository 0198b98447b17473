package scheduler

import (
	"log/slog"
	"time"

	"drumpick/internal/drain"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// ReadDrain decodes a drain from its record. It logs an unreadable record and returns false.
func ReadDrain(key string, value jsoncodec.RawMessage) (drain.Spec, bool) {
	var s drain.Spec
	if err := jsoncodec.Unmarshal(value, &s); err != nil || records.PrefixDrains+s.ID != key {
		slog.Error("unreadable record", "key", key, "err", err)
		return s, false
	}
	return s, true
}

const (
	// stateWriteIntervals is the minimum time between two writes of a drain's state, in heartbeat
	// intervals. A change of phase is written at once.
	stateWriteIntervals = 5
	// maxEndedDrains is the number of ended drains that stay in the store as history for operators,
	// independent of the number of machines.
	maxEndedDrains = 50
	// bytesPerDrainRemoval is the size, in bytes, that the removal of one drain counts in a commit.
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

// appendDrainStateWrite appends the write of a drain's state to a batch. It returns false if the
// write does not fit. A list of machines out of service that is too long for a value of the store
// is cut: this leader has the whole list in memory, and the next leader selects again, empty machines
// first, which are mostly the same.
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

// appendDrainRemovals appends the removal of the oldest ended drains to a batch. It returns false
// if the batch is full. The drains are sorted by id, which is the order of their creation if their
// ids come from client.NewDrainID.
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

// ReplaceDrains replaces the known drains by found, the drains on record by id.
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

// DrainView returns a drain with its state, and false if there is no drain with that id.
func (s *Scheduler) DrainView(id string) (DrainView, bool) {
	for _, d := range s.drains.list {
		if d.spec.ID == id {
			state := d.state
			return DrainView{Spec: d.spec, State: &state}, true
		}
	}
	return DrainView{}, false
}
