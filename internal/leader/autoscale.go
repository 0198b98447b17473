package leader

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"drumpick/internal/autoscaler"
	"drumpick/internal/httpclient"
	"drumpick/internal/records"
)

// prices keeps the machine types, with current prices, and stores them when
// they have changed in kind.
func (l *Leader) prices(ctx context.Context) {
	var stored string
	stamp, known := uint64(0), false // of the record
	pause := l.set.HeartbeatInterval
	for ctx.Err() == nil {
		types, err := l.cloud.Types(ctx)
		if err != nil {
			slog.Debug("cloud: no machine types", "err", err)
			if httpclient.Sleep(ctx, pause/2+rand.N(pause)) != nil {
				return
			}
			continue
		}
		l.mu.Lock()
		l.core.SetTypes(types)
		l.mu.Unlock()
		sort.Slice(types, func(i, j int) bool { return types[i].Name < types[j].Name })
		plain := make([]records.MachineType, len(types))
		copy(plain, types)
		for i := range plain {
			plain[i].SpotPrice = 0 // it moves all the time
		}
		raw, _ := json.Marshal(plain)
		if value := (records.MachineTypes{Types: types}); string(raw) != stored && records.EncodedSize(value) > l.valueBytes() {
			// Controllers ask the cloud where there is no such record.
			slog.Warn("store: the list of machine types takes more than a value", "types", len(types), "term", l.term)
			stored = string(raw)
		} else if string(raw) != stored {
			// Guards against a list that is stored late, after a newer one.
			if !known {
				if row, err := l.store.Get(ctx, records.KeyTypes); err == nil {
					if stamp, known = 0, true; row != nil {
						stamp = row.Revision
					}
				}
			}
			if known {
				e, err := l.store.Commit(ctx, append(l.mine(), records.Compare{Key: records.KeyTypes, Revision: stamp}), []records.Op{{Write: records.KeyTypes, Value: value}})
				if known = err == nil; known {
					stored, stamp = string(raw), e
				}
			}
		}
		if httpclient.Sleep(ctx, 15*pause) != nil {
			return
		}
	}
}

// lists reads the cloud's list of machines now and then.
func (l *Leader) lists(ctx context.Context) {
	for ctx.Err() == nil {
		every := l.set.ListLag + l.set.HeartbeatInterval
		asked := time.Now()
		list, err := l.cloud.List(ctx)
		if err == nil {
			l.mu.Lock()
			l.core.ReconcileCloudList(list, asked, time.Now())
			if !l.core.Reconciled() {
				every = l.set.ListLag / 2 // work waits to hear which machines are gone
			}
			l.mu.Unlock()
		} else {
			slog.Debug("cloud: no list", "err", err)
		}
		every = max(every, l.set.HeartbeatInterval/4)
		if httpclient.Sleep(ctx, every*3/4+rand.N(every/2)) != nil {
			return
		}
	}
}

// rents asks for machines.
func (l *Leader) rents(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for httpclient.Sleep(ctx, l.set.HeartbeatInterval/4) == nil {
		if !l.granted() {
			continue
		}
		l.mu.Lock()
		reqs := l.core.PlanRentals(time.Now())
		l.mu.Unlock()
		for _, r := range reqs {
			wg.Add(1)
			go func() { defer wg.Done(); l.rent(ctx, r) }()
		}
	}
}

// rent repeats one request under its own name until it is answered.
func (l *Leader) rent(ctx context.Context, r autoscaler.RentalRequest) {
	pause := l.set.HeartbeatInterval / 4
	for try := 0; ; try++ {
		var hosts []string
		err := error(autoscaler.ErrUnavailable)
		if l.granted() {
			hosts, err = l.cloud.Rent(ctx, r)
		}
		now := time.Now()
		switch {
		case err == nil:
			l.mu.Lock()
			l.core.MachinesRented(r, hosts, now)
			l.mu.Unlock()
			return
		case errors.Is(err, autoscaler.ErrNoCapacity), ctx.Err() != nil, try >= 8:
			l.mu.Lock()
			l.core.RentalRefused(r, errors.Is(err, autoscaler.ErrNoCapacity), now)
			l.mu.Unlock()
			return
		}
		slog.Debug("rental not answered", "booking", r.Name, "err", err)
		if httpclient.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			continue
		}
		pause = min(2*pause, 4*l.set.HeartbeatInterval)
	}
}

// returns gives machines back.
func (l *Leader) returns(ctx context.Context) {
	for httpclient.Sleep(ctx, l.set.HeartbeatInterval/2) == nil {
		// Guards against hundreds of machines, of a zone that went silent, that are given
		// back one call in each interval while all older work waits for the last of them.
		for full := true; full && l.granted(); {
			l.mu.Lock()
			hosts := l.core.MachinesToReturn(time.Now())
			l.mu.Unlock()
			full = len(hosts) == autoscaler.MaxReturnNames
			if len(hosts) == 0 || !l.granted() {
				break
			}
			if err := l.cloud.Return(ctx, hosts); err != nil {
				slog.Debug("return not answered", "machines", hosts, "err", err)
				break
			}
			l.mu.Lock()
			l.core.MachinesReturned(hosts, time.Now())
			l.mu.Unlock()
			l.poke()
		}
	}
}
