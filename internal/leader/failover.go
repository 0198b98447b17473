package leader

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"drumpick/internal/jsoncodec"
	"drumpick/internal/records"
	"drumpick/internal/scheduler"
)

// loadState loads from the store what earlier terms have left: machine types, open jobs, finished
// tasks, machines, and if enabled watermarks and drains. It returns the revision of the list of open
// jobs, from which the watches start. No loop of the term runs before loadState has succeeded.
func (l *Leader) loadState(ctx context.Context) (revision uint64, err error) {
	sched := scheduler.New(l.settings, l.number, time.Now())
	limits := l.cfg.Deployment.Store.Lowest()
	persistence := scheduler.NewPersistence(sched, limits.ValueKB, limits.TxnOps)
	watermarksComplete := l.attestor.earlierWatermarksComplete(ctx)
	now, wall := time.Now(), time.Now()
	if err := l.loadMachineTypes(ctx, sched); err != nil {
		return 0, err
	}
	sched.BatchJobs(func() {
		revision, err = l.store.List(ctx, records.PrefixOpen, func(record records.KeyValue) error {
			l.addJob(sched, record, now, wall)
			return nil
		})
	})
	if err != nil {
		return 0, fmt.Errorf("load %s: %w", records.PrefixOpen, err)
	}
	if err := l.loadPersisted(ctx, persistence, now); err != nil {
		return 0, err
	}
	persistence.FinishLoading(watermarksComplete)
	if l.cfg.Options.OperatorAPI {
		if err := l.loadDrains(ctx, sched); err != nil {
			return 0, err
		}
	}
	sched.CheckReconciled(now)
	jobs, machines := sched.Counts()
	slog.Info("failover complete", "term", l.number, "node", l.cfg.Node, "jobs", jobs, "machines", machines)
	l.lock()
	defer l.unlock()
	l.state.scheduler = sched
	l.state.persistence = persistence
	return revision, nil
}

func (l *Leader) loadMachineTypes(ctx context.Context, sched *scheduler.Scheduler) error {
	record, err := l.store.Get(ctx, records.KeyMachineTypes)
	if err != nil {
		return fmt.Errorf("load %s: %w", records.KeyMachineTypes, err)
	}
	if record == nil {
		return nil
	}
	var stored records.MachineTypes
	if jsoncodec.Unmarshal(record.Value, &stored) == nil {
		sched.SetMachineTypes(stored.Types)
	}
	return nil
}

// loadPersisted loads the pages of finished tasks and machines, and of watermarks if these are
// enabled.
func (l *Leader) loadPersisted(ctx context.Context, persistence *scheduler.Persistence, now time.Time) error {
	loadMachine := func(record records.KeyValue) { persistence.LoadMachinePage(record, now) }
	if err := l.loadPrefix(ctx, records.PrefixFinishedTasks, persistence.LoadDonePage); err != nil {
		return err
	}
	if err := l.loadPrefix(ctx, records.PrefixMachines, loadMachine); err != nil {
		return err
	}
	if !l.settings.Watermarks {
		return nil
	}
	return l.loadPrefix(ctx, records.PrefixWatermarks, persistence.LoadWatermarkPage)
}

// loadPrefix calls load with each record under a prefix.
func (l *Leader) loadPrefix(ctx context.Context, prefix string, load func(records.KeyValue)) error {
	_, err := l.store.List(ctx, prefix, func(record records.KeyValue) error {
		load(record)
		return nil
	})
	if err != nil {
		return fmt.Errorf("load %s: %w", prefix, err)
	}
	return nil
}
