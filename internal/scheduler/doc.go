// Package scheduler decides which task runs where and when, which tasks are stopped, which machines
// are scaled out and which are returned.
//
// A Scheduler is the state of one term of leadership. It does no I/O, starts no goroutine and reads no
// clock (but for one figure that it logs): it is plain data that events change, with the time passed
// in. Package leader drives it for one term, under a lock of its own, and carries out what it decides.
//
// A heartbeat goes through five stages:
//
//   - check: Recency and Reconcile reject a heartbeat that is older than what is known of its machine;
//   - reconcile: the machine table (package fleet) compares the status with the attempts that are known
//     and reports what is new, running, ended or gone;
//   - account: attempts are adopted, released, counted as done or failed, which frees their room and
//     puts tasks back into their jobs' queues;
//   - choose: PlanMachine places waiting tasks, in the order in which jobs are served, by bin packing;
//   - respond: Respond checks every rule once more and writes the commands of the answer. Tasks are
//     sent here and nowhere else.
//
// A tick (Tick) does what time alone brings about: leases expire, drains and rebalancing rounds run,
// waiting tasks are placed, tasks are preempted for jobs that may claim their room, machines are held
// for large tasks, and watermarks are raised ahead of need.
//
// After a failover, until every machine that an earlier term may have used has been heard or is gone
// (Reconciled), only tasks start that can be on none of the machines still unheard of.
package scheduler
