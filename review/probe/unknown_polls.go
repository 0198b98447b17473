package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"drumpick/internal/httpclient"
)

const (
	// forgottenAfter is the time for which every poll of a job has to fail, by the rule "forgotten".
	forgottenAfter = 90 * time.Second
	// finishedJobs, openJobs and unknownJobs are the numbers of users at each controller that ask for a job that is soon
	// done, for one that stays open, and for one that was never submitted.
	finishedJobs, openJobs, unknownJobs = 6, 20, 50
	// pollingTime is how long users poll, from the begin of the case.
	pollingTime = 105 * time.Second
	// longTask is the run time of the tasks of the jobs that stay open.
	longTask = 10 * time.Minute
)

// unknownPolls: users ask about jobs that were never submitted, beside users of jobs that are done and of jobs that are
// open. The rule is broken if every poll of a job that was accepted fails for 90 seconds, while more than half of all other
// polls of that time are answered.
func unknownPolls(d *deployment) (broken bool, err error) {
	d.Environment.SetBootTime(func() time.Duration { return time.Second })
	d.Environment.RunTime = func(task string) time.Duration {
		if strings.HasPrefix(task, "j-2") {
			return longTask
		}
		return time.Second
	}
	users := &pollers{d: d, end: time.Now().Add(pollingTime), failingSince: map[string]time.Time{}, longest: map[string]time.Duration{}}
	var wg sync.WaitGroup
	for controller := range d.Info.Controllers {
		for i := range unknownJobs {
			if d.trouble {
				wg.Go(func() { users.poll(controller, fmt.Sprintf("j-3%d%04d", controller, i), false) })
			}
		}
	}
	for i := range finishedJobs {
		for controller := range d.Info.Controllers {
			id := fmt.Sprintf("j-1%d%04d", controller, i)
			if !d.submit(faceTagger(id)) {
				return false, errors.New("no controller accepted a job")
			}
			wg.Go(func() { users.poll(controller, id, true) })
		}
	}
	for i := range openJobs {
		for controller := range d.Info.Controllers {
			id := fmt.Sprintf("j-2%d%04d", controller, i)
			if !d.submit(faceTagger(id)) {
				return false, errors.New("no controller accepted a job")
			}
			wg.Go(func() { users.poll(controller, id, true) })
			time.Sleep(60 * time.Millisecond)
		}
	}
	wg.Wait()
	return users.judge(), nil
}

// pollers are users that poll a job each, on a connection of their own.
type pollers struct {
	d   *deployment
	end time.Time

	mu               sync.Mutex               // guards the fields below
	failingSince     map[string]time.Time     // by job, when the first poll after its last answer was sent
	longest          map[string]time.Duration // by accepted job, the longest time for which every poll failed
	answered, failed int                      // polls
}

// poll polls a job every five seconds until it is done.
func (p *pollers) poll(controller int, id string, accepted bool) {
	client := httpclient.New(p.d.Info.Controllers[controller].UserAddr, 1, pollTimeout)
	defer client.Close()
	time.Sleep(rand.N(pollInterval))
	for time.Now().Before(p.end) {
		sent := time.Now()
		code, answer, err := client.Do(http.MethodGet, "/work/"+id, "", nil, sent.Add(pollTimeout))
		if err != nil {
			code = 0
		}
		if accepted {
			p.d.quietf("user at controller %d: GET /work/%s, answer %d %s", controller+1, id, code, answer)
		}
		p.observe(id, accepted, code, sent)
		if strings.Contains(string(answer), `"done"`) && strings.Contains(string(answer), `"status":"done"`) {
			return
		}
		time.Sleep(time.Until(sent.Add(pollInterval)))
	}
}

func (p *pollers) observe(id string, accepted bool, code int, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if code == http.StatusOK || code == http.StatusNotFound {
		p.answered++
		delete(p.failingSince, id)
		return
	}
	p.failed++
	if _, failing := p.failingSince[id]; !failing {
		p.failingSince[id] = sent
	}
	if accepted {
		p.longest[id] = max(p.longest[id], time.Since(p.failingSince[id]))
	}
}

// faceTagger returns the submission of a job of one task of the class twarze-tagger.
func faceTagger(id string) []byte {
	return fmt.Appendf(nil, `{"uid":%q,"jobclass":"twarze-tagger","owner":"prawa-autorskie","shape":"batch",`+
		`"urgency":"standard","shots":1,"vcpus":1.0,"gpus":0.0,"mem_gb":4.0,"build":"img-11","size_gb":1.0,`+
		`"rigs":null,"site":null,"one_zone":false,"apart":false,"loaners":true,`+
		`"guess_s":10.0,"snapshot_s":0.0,"flush_s":0.0,"due_s":null}`, id)
}

// judge records the result and reports whether the rule was broken.
func (p *pollers) judge() (broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	forgotten := 0
	for id, failing := range p.longest {
		if failing > 20*time.Second {
			p.d.printf("every poll for %s, which was accepted, failed for %.1f s", id, failing.Seconds())
		}
		if failing >= forgottenAfter {
			forgotten++
		}
	}
	p.d.printf("%d polls were answered, %d failed; for %d accepted jobs every poll failed for 90 s", p.answered, p.failed, forgotten)
	return forgotten > 0 && p.answered > p.failed
}
