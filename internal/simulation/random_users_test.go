package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// submitRandomJob submits a random job with a new ID and may cancel a random submitted job.
func submitRandomJob(c *cluster, r *rand.Rand) {
	c.mu.Lock()
	n, accepted := len(c.jobs)+1, slices.Clone(c.expectedDone)
	c.mu.Unlock()
	j := records.Job{ID: fmt.Sprint("j-", n), Tasks: 2 + r.IntN(20), CPUs: float64(1 + r.IntN(4)), EstimateS: 10}
	switch r.IntN(4) {
	case 0:
		j.Shape, j.Tasks, j.CPUs = records.ShapeGang, 2+r.IntN(3), 2
		if r.IntN(2) == 0 {
			j.CheckpointS, j.SaveS = 10, 3
		}
	case 1:
		if len(accepted) > 0 {
			j.Dependencies = []string{accepted[r.IntN(len(accepted))]}
		}
	case 2:
		zone := []string{"a", "b"}[r.IntN(2)]
		switch r.IntN(4) {
		case 0:
			j.Team = "limited"
		case 1:
			j.OneZone, j.Tasks = true, min(j.Tasks, 6)
		case 2:
			j.SpreadZones = true
		case 3:
			j.Zone = &zone
		}
	}
	c.submitToAny(n%3, j) // accepted or not, its ID is not used again
	if r.IntN(3) == 0 && n > 3 {
		c.cancel(r.IntN(3), fmt.Sprint("j-", 1+r.IntN(n)))
	}
}

// pollAggressively sets onJobEvent: whenever a job is accepted, done or cancelled, users poll all controllers several
// times within milliseconds and repeat the submission. When a job is accepted, a user also sends invalid submissions.
// Some users cancel an accepted or done job at once.
func (c *cluster) pollAggressively(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onJobEvent = func(event, id string) {
		c.mu.Lock()
		j := c.jobs[id]
		c.mu.Unlock()
		mu.Lock()
		cancels := r.IntN(8) == 0
		from := r.IntN(3)
		mu.Unlock()
		for i := range 3 {
			for _, ms := range []int{0, 1, 4, 20} {
				runAfter(time.Duration(ms)*time.Millisecond, func() { c.ask(i, peer.MethodPoll, id) })
			}
			runAfter(2*time.Millisecond, func() { c.submit(i, j) })
		}
		if event == records.StatusDone && cancels {
			runAfter(time.Millisecond, func() { c.ask(from, peer.MethodCancel, id) }) // the job must stay done
		}
		if event == "accepted" {
			runAfter(3*time.Millisecond, func() { c.submitInvalid(from, j) })
		}
		if event == "accepted" && cancels {
			runAfter(time.Millisecond, func() { c.cancel(from, id) })
		}
	}
}

// submitInvalid sends invalid submissions to a controller: with a missing or malformed field, too large for any machine,
// or with an unknown team or machine type. Each has a new ID.
func (c *cluster) submitInvalid(i int, j records.Job) {
	for k, change := range []func(m map[string]any){
		func(m map[string]any) { delete(m, "vcpus") },
		func(m map[string]any) { delete(m, "guess_s") },
		func(m map[string]any) { m["shots"] = "2" },
		func(m map[string]any) { m["vcpus"] = 99.0 },
		func(m map[string]any) { m["owner"] = "nobody" },
		func(m map[string]any) { m["rigs"] = []string{"none"} },
	} {
		var m map[string]any
		raw, _ := json.Marshal(j)
		_ = json.Unmarshal(raw, &m)
		m["uid"] = fmt.Sprint(j.ID, "000", k)
		change(m)
		raw, _ = json.Marshal(m)
		asked := time.Now()
		status, _ := c.request(i, peer.RelayRequest{Method: peer.MethodSubmit, Body: raw})
		c.env.CheckSubmission(m["uid"].(string), status, asked)
	}
}
