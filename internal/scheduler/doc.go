// Package scheduler decides where and when each task runs, which tasks are stopped, and which machines
// are rented or returned.
//
// A Scheduler is the state of one term of leadership. It does no I/O, starts no goroutine and reads no
// clock, except for one logged figure: events change it, and the caller passes in the time. Package
// leader calls it for one term, under its own lock, and executes its decisions.
//
// A heartbeat is processed in five stages:
//
//   - check: Recency and Reconcile reject a heartbeat older than the machine's latest status;
//   - reconcile: the machine table (package fleet) compares the status with the known attempts and
//     reports which are new, running, ended or lost;
//   - account: attempts are adopted, released, or counted as done or failed, which frees their room and
//     returns tasks to their jobs' queues;
//   - plan: PlanMachine places waiting tasks by bin packing, in the scheduling order of their jobs;
//   - respond: Respond checks all rules again and returns the commands of the answer. Run commands are
//     sent nowhere else.
//
// Tick does the periodic work: it expires leases, runs drains and rebalancing rounds, places waiting
// tasks, preempts tasks for jobs that may preempt, holds machines for large tasks, and raises
// watermarks ahead of need.
//
// After a failover, the scheduler is not reconciled until every machine that an earlier term may have
// used has reported or is gone (Reconciled). Until then, only tasks start that cannot be on any of the
// machines that have not reported.
package scheduler
