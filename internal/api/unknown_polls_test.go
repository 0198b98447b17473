package api_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/jsoncodec"
	"drumpick/internal/peer"
	"drumpick/internal/records"
	"drumpick/internal/simulation"
)

// pollingUsers are users of seven controllers that share a store with 70 requests per second.
type pollingUsers struct {
	servers []*api.Server
	stores  []*countingStore
	end     time.Time

	mu      sync.Mutex
	longest map[string]time.Duration // by accepted job, the longest time without an answer
}

const (
	pollInterval    = 5 * time.Second
	pollControllers = 7
)

func newPollingUsers(store *simulation.Store, duration time.Duration) *pollingUsers {
	cfg := &config.Config{Node: "n-0"}
	cfg.Deployment.Workers.HeartbeatS = 1.5
	cfg.Deployment.Store.RPS, cfg.Deployment.Store.TxnOps, cfg.Deployment.Nodes = 70, 12, pollControllers
	users := &pollingUsers{end: time.Now().Add(duration), longest: map[string]time.Duration{}}
	for i := range pollControllers {
		counting := &countingStore{Client: store.Client(fmt.Sprint("n-", i))}
		users.stores = append(users.stores, counting)
		users.servers = append(users.servers, api.New(cfg, counting, unreachablePeers{}, fixedElection{}, func() api.Leader { return nil }))
	}
	return users
}

// poll polls a job at a controller every five seconds, from a time on, until the job is done.
func (u *pollingUsers) poll(t *testing.T, controller int, id string, after time.Duration, accepted bool) {
	time.Sleep(after)
	unansweredSince := time.Now()
	for time.Now().Before(u.end) {
		sent := time.Now()
		reply := u.servers[controller].HandleRequest(peer.RelayRequest{Method: peer.MethodPoll, ID: id})
		switch {
		case reply.Status == http.StatusOK && accepted, reply.Status == http.StatusNotFound && !accepted:
			unansweredSince = time.Now()
		case reply.Status != http.StatusServiceUnavailable:
			t.Errorf("poll of %s: status %d, accepted: %v", id, reply.Status, accepted)
		}
		u.mu.Lock()
		if accepted {
			u.longest[id] = max(u.longest[id], time.Since(unansweredSince))
		}
		u.mu.Unlock()
		if isDone(reply) {
			return
		}
		time.Sleep(time.Until(sent.Add(pollInterval)))
	}
}

func isDone(reply peer.RelayReply) bool {
	var status struct {
		Status string `json:"status"`
	}
	return decode(reply, &status) && status.Status == records.StatusDone
}

// requests returns the number of requests to the store so far.
func (u *pollingUsers) requests() (n int64) {
	for _, s := range u.stores {
		n += s.gets.Load() + s.lists.Load() + s.checks.Load() + s.commits.Load()
	}
	return n
}

// Users poll 2,000 accepted jobs, of which 200 end, and 350 users poll for jobs that were never submitted.
// No accepted job goes unanswered for 75 s. Polls for unknown jobs once used up the reads of final states,
// and the users whose polls came at certain moments of a second were never told that their job was done.
func TestPollsOfUnknownJobsStarveNoJob(t *testing.T) {
	const (
		jobs, ending, unknown = 2000, 200, 350
		forgottenAfter        = 75 * time.Second
		duration              = 4 * time.Minute
	)
	for _, unknownUsers := range []int{unknown, 0} {
		t.Run(fmt.Sprint(unknownUsers, " users of unknown jobs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := simulation.NewStore()
				stored := map[string]records.KeyValue{}
				for i := range jobs {
					key := records.OpenKey(fmt.Sprint("j-", i))
					stored[key] = records.KeyValue{Key: key, Value: fmt.Appendf(nil, `{"uid":"j-%d","shots":1}`, i), Revision: uint64(i + 1)}
				}
				store.ImportEntries(stored)
				users := newPollingUsers(store, duration)
				var running sync.WaitGroup
				for i := range jobs {
					running.Go(func() {
						users.poll(t, i%pollControllers, fmt.Sprint("j-", i), pollInterval*time.Duration(i)/jobs, true)
					})
				}
				for i := range unknownUsers {
					running.Go(func() {
						users.poll(t, i%pollControllers, fmt.Sprint("j-99000", i), pollInterval*time.Duration(i)/unknown, false)
					})
				}
				var closed atomic.Int64
				running.Go(func() {
					leader := store.Client("leader")
					for i := range ending {
						time.Sleep(duration / 2 / ending)
						id := fmt.Sprint("j-", i*jobs/ending)
						_, err := leader.Commit(t.Context(), nil, []records.Op{
							{Delete: records.OpenKey(id)}, {Write: records.ClosedKey(id), Value: records.ClosedJob{Status: records.StatusDone, Tasks: 1}},
						})
						if err == nil {
							closed.Add(1)
						}
					}
				})
				running.Wait()
				longest, worst := time.Duration(0), ""
				for id, d := range users.longest {
					if d > longest {
						longest, worst = d, id
					}
				}
				t.Logf("longest time without an answer %v (%s), %.1f requests to the store per second, %d jobs ended",
					longest, worst, float64(users.requests())/duration.Seconds(), closed.Load())
				if longest >= forgottenAfter || len(users.longest) != jobs {
					t.Errorf("%s went unanswered for %v, want less than %v; %d jobs were polled", worst, longest, forgottenAfter, len(users.longest))
				}
			})
		})
	}
}

// decode decodes the body of a reply and reports whether it could.
func decode(reply peer.RelayReply, into any) bool {
	return jsoncodec.Unmarshal(reply.Body, into) == nil
}
