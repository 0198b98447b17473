package leader

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sort"

	"drumpick/internal/ctxtime"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
)

// typesRefreshIntervals is the number of heartbeat intervals between two reads of machine types.
const typesRefreshIntervals = 15

// machineTypes refreshes the scheduler's machine types and prices, and stores the types for the
// other controllers when anything but a spot price has changed.
type machineTypes struct {
	*term
	cloud Cloud

	storedJSON    string // types last stored or too large to store, without spot prices, as JSON
	revision      uint64 // of the record in the store, 0 for none; valid if revisionKnown
	revisionKnown bool
}

func (m *machineTypes) run(ctx context.Context) {
	interval := m.settings.HeartbeatInterval
	for ctx.Err() == nil {
		types, err := m.cloud.Types(ctx)
		if err != nil {
			slog.Debug("machine types not read", "err", err)
			if ctxtime.Sleep(ctx, interval/2+rand.N(interval)) != nil {
				return
			}
			continue
		}
		m.withState(func() { m.state.scheduler.SetMachineTypes(types) })
		sort.Slice(types, func(i, j int) bool { return types[i].Name < types[j].Name })
		m.storeIfChanged(ctx, types)
		if ctxtime.Sleep(ctx, typesRefreshIntervals*interval) != nil {
			return
		}
	}
}

// storeIfChanged stores machine types that differ from the stored ones. A failed write is retried
// after the next read.
func (m *machineTypes) storeIfChanged(ctx context.Context, types []records.MachineType) {
	withoutPrices := jsonWithoutPrices(types)
	if withoutPrices == m.storedJSON {
		return
	}
	value := records.MachineTypes{Types: types}
	if records.EncodedSize(value) > m.maxValueBytes() {
		// Without the record, controllers query the cloud for the types.
		slog.Warn("machine types too large to store", "types", len(types), "term", m.number)
		m.storedJSON = withoutPrices
		return
	}
	// The compare with the record's revision prevents a late write from overwriting a newer one.
	if !m.revisionKnown && !m.readRevision(ctx) {
		return
	}
	compares := append(m.leaderKeyCompare(), records.Compare{Key: records.KeyMachineTypes, Revision: m.revision})
	revision, err := m.store.Commit(ctx, compares, []records.Op{{Write: records.KeyMachineTypes, Value: value}})
	m.revisionKnown = err == nil
	if m.revisionKnown {
		m.storedJSON, m.revision = withoutPrices, revision
	}
}

// jsonWithoutPrices encodes machine types without their spot prices, which change all the time.
func jsonWithoutPrices(types []records.MachineType) string {
	stripped := make([]records.MachineType, len(types))
	copy(stripped, types)
	for i := range stripped {
		stripped[i].SpotPrice = 0
	}
	raw, _ := jsoncodec.Marshal(stripped)
	return string(raw)
}

// readRevision reads the revision of the stored record into m.revision. It reports whether the
// store answered.
func (m *machineTypes) readRevision(ctx context.Context) bool {
	record, err := m.store.Get(ctx, records.KeyMachineTypes)
	if err != nil {
		return false
	}
	m.revision, m.revisionKnown = 0, true
	if record != nil {
		m.revision = record.Revision
	}
	return true
}
