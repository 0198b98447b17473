package leader

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sort"

	"drumpick/internal/ctxtime"
	"drumpick/internal/records"
)

// typesRefreshIntervals is every how many heartbeat intervals machine types are read again.
const typesRefreshIntervals = 15

// machineTypes keeps the scheduler's machine types at current prices, and stores the types, for
// the other controllers, when anything but a spot price has changed.
type machineTypes struct {
	*term
	cloud Cloud

	storedJSON    string // the stored types without spot prices, as JSON
	revision      uint64 // of the record, 0 for none
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
		m.state.mu.Lock()
		m.state.scheduler.SetMachineTypes(types)
		m.state.mu.Unlock()
		sort.Slice(types, func(i, j int) bool { return types[i].Name < types[j].Name })
		m.storeIfChanged(ctx, types)
		if ctxtime.Sleep(ctx, typesRefreshIntervals*interval) != nil {
			return
		}
	}
}

// storeIfChanged stores machine types unless they are stored already. What fails is tried again with
// the next reading.
func (m *machineTypes) storeIfChanged(ctx context.Context, types []records.MachineType) {
	withoutPrices := jsonWithoutPrices(types)
	if withoutPrices == m.storedJSON {
		return
	}
	value := records.MachineTypes{Types: types}
	if records.EncodedSize(value) > m.maxValueBytes() {
		// Controllers ask the cloud where there is no such record.
		slog.Warn("machine types too large to store", "types", len(types), "term", m.number)
		m.storedJSON = withoutPrices
		return
	}
	// Without the compare with the record's revision, a list could be stored late, after a newer
	// one.
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

// jsonWithoutPrices encodes machine types without their spot prices, which move all the time.
func jsonWithoutPrices(types []records.MachineType) string {
	plain := make([]records.MachineType, len(types))
	copy(plain, types)
	for i := range plain {
		plain[i].SpotPrice = 0
	}
	raw, _ := json.Marshal(plain)
	return string(raw)
}

// readRevision reads the revision of the stored record, and reports whether the store has answered.
func (m *machineTypes) readRevision(ctx context.Context) bool {
	row, err := m.store.Get(ctx, records.KeyMachineTypes)
	if err != nil {
		return false
	}
	m.revision, m.revisionKnown = 0, true
	if row != nil {
		m.revision = row.Revision
	}
	return true
}
