package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"drumpick/internal/httpclient"
)

// Timeouts and delays of a user, by the protocol.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryDelay    = time.Second
	pollInterval  = 5 * time.Second
)

// status is the part of a response about a job that the cases use.
type status struct {
	Status string `json:"status"`
	Done   int    `json:"done"`
}

// send sends a user's request to a controller, given by its index, and records it with its answer. The HTTP status is 0
// without an answer.
func (d *deployment) send(controller int, method, path string, body []byte, timeout time.Duration) (int, status) {
	addr := d.Info.Controllers[controller].UserAddr
	client := httpclient.New(addr, 1, pollTimeout)
	defer client.Close()
	code, answer, err := client.Do(method, path, "application/json", body, time.Now().Add(timeout))
	if err != nil {
		d.printf("user: %s %s %s, no answer: %v", method, path, body, err)
		return 0, status{}
	}
	d.printf("user: %s %s %s, answer %d %s", method, path, body, code, answer)
	var s status
	_ = json.Unmarshal(answer, &s)
	return code, s
}

// submit submits a job, at one controller after the other, and reports whether one accepted it within a minute. After a
// 400 or 422 it is not repeated.
func (d *deployment) submit(body []byte) (accepted bool) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(retryDelay) {
		for controller := range d.Info.Controllers {
			switch code, _ := d.send(controller, http.MethodPost, "/work", body, submitTimeout); code {
			case http.StatusOK, http.StatusCreated:
				return true
			case http.StatusBadRequest, http.StatusUnprocessableEntity:
				return false
			}
		}
	}
	return false
}

// pollUntilDone polls a job every five seconds, at one controller after the other, and reports whether one called it done
// before the given time.
func (d *deployment) pollUntilDone(id string, end time.Time) (done bool) {
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(min(pollInterval, max(time.Until(end), 0)))
		code, s := d.send(i%len(d.Info.Controllers), http.MethodGet, "/work/"+id, nil, pollTimeout)
		if code == http.StatusOK && s.Status == "done" {
			return true
		}
	}
	return false
}

// withField returns a JSON object with one more field behind all others.
func withField(object []byte, field string) []byte {
	return append(object[:len(object)-1:len(object)-1], ","+field+"}"...)
}

// pressExport returns the submission of a job of the class press-export, with amounts as the pages write them.
func pressExport(id string, tasks int) []byte {
	return fmt.Appendf(nil, `{"uid":%q,"jobclass":"press-export","owner":"digitisation-desk","shape":"batch",`+
		`"urgency":"urgent","shots":%d,"vcpus":1.0,"gpus":0.0,"mem_gb":3.8,"build":"img-07","size_gb":1.0,`+
		`"rigs":null,"site":null,"one_zone":false,"apart":false,"loaners":true,`+
		`"guess_s":10.0,"snapshot_s":0.0,"flush_s":0.0,"due_s":120.0}`, id, tasks)
}
