package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/simulation"
)

// workerTimeout is how long a worker waits for the response to a report, by the protocol.
const workerTimeout = 4 * time.Second

// reportWithNewField: the workers' reports have one more field, "version", which the pages do not know. The rule is
// broken if no task of an accepted job is started for 75 seconds, although machines are up and report.
func reportWithNewField(d *deployment) (broken bool, err error) {
	d.Environment.WorkerVersion = "" // the answers to direct commands have no field that the pages do not know
	reports := &reportSender{d: d, counts: map[int]int{}, senders: map[string]bool{}}
	for _, c := range d.Info.Controllers {
		reports.controllers = append(reports.controllers, httpclient.New(c.UserAddr, 100, workerTimeout))
	}
	d.Environment.Heartbeat = simulation.HeartbeatOverHTTP(reports.send)
	job := pressExport("j-000412", 6)
	if !d.submit(job) {
		return false, errors.New("no controller accepted the job")
	}
	done := d.pollUntilDone("j-000412", time.Now().Add(75*time.Second))
	sent := reports.total()
	starts := d.Environment.Starts()
	d.printf("%d machines sent %d reports, answers by status: %v; %d tasks were started; the job was called done: %t",
		reports.machines(), sent, reports.byStatus(), starts, done)
	if sent < 20 {
		return false, errors.New("the machines have sent too few reports")
	}
	return starts == 0, nil
}

// reportSender delivers the workers' reports.
type reportSender struct {
	d           *deployment
	controllers []*httpclient.Client

	mu      sync.Mutex      // guards the fields below
	counts  map[int]int     // answers by HTTP status
	senders map[string]bool // machines that have sent a report
}

// send sends a report without the field "version" that the project's stand-in adds or, with the disruption, with a
// number in it.
func (s *reportSender) send(machine string, controller int, body []byte) (int, []byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return 0, nil, err
	}
	delete(fields, "version")
	if string(fields["shots"]) == "null" {
		fields["shots"] = json.RawMessage("[]") // as the pages write a list without tasks
	}
	if s.d.trouble {
		fields["version"] = json.RawMessage("2")
	}
	report, err := json.Marshal(fields)
	if err != nil {
		return 0, nil, err
	}
	code, answer, err := s.controllers[controller].Do(http.MethodPost, "/checkin", "application/json", report, time.Now().Add(workerTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[code]++
	s.senders[machine] = true
	if s.counts[code] <= 3 || code == http.StatusOK {
		s.d.printf("worker of %s to controller %d: %s, answer %d %s", machine, controller+1, report, code, answer)
	}
	return code, answer, err
}

// machines returns the number of machines that have sent a report.
func (s *reportSender) machines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.senders)
}

// total returns the number of reports.
func (s *reportSender) total() int {
	total := 0
	for _, n := range s.byStatus() {
		total += n
	}
	return total
}

// byStatus returns the number of answers by HTTP status; 0 stands for no answer.
func (s *reportSender) byStatus() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[int]int{}
	for code, n := range s.counts {
		counts[code] = n
	}
	return counts
}
