// Package scheduler decides where and when each task runs, which tasks are stopped, and which machines
// are rented or returned.
//
// A Scheduler is the state of one term of leadership. It does no I/O and starts no goroutine. The
// caller passes in events and the time; only the log message of a closed job reads the clock. Package
// leader calls the Scheduler of its term, under the leader's lock, and executes the decisions.
//
// A heartbeat is processed in five stages:
//
//   - check: Recency and Reconcile reject a heartbeat older than the machine's latest status;
//   - reconcile: the machine table (package fleet) compares the status with the known attempts and
//     reports which are new, running, ended or lost;
//   - account: attempts are adopted, released, or counted as done or failed, which frees their room and
//     returns tasks to their jobs' queues;
//   - plan: PlanMachine places waiting tasks by bin packing, in the scheduling order of their jobs;
//   - respond: Respond checks the placement rules again and returns the commands of the answer to the
//     heartbeat. Run commands are sent only in such answers.
//
// Tick does the periodic work: it expires leases, runs drains and rebalancing rounds, places waiting
// tasks, preempts tasks for jobs that may preempt, holds machines for large tasks, and raises
// the jobs' watermarks before their next tasks are sent.
//
// After a failover, the scheduler is not reconciled until every machine that an earlier term may
// have used has reported or is gone (Reconciled). Until then, a task starts only if none of the
// machines that have not reported can already run it.
package scheduler
