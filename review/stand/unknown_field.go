package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// unknownField submits a job whose object has a further field that the protocol doesn't have. With trouble the
// field's name is UID, without it is note.
func unknownField(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, smallSettings(), skanerBox(), 2)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	name := "note"
	if trouble {
		name = "UID"
	}
	j := newJob("j-000412", 2)
	d.addJob(j)
	body := fmt.Sprintf(`{"uid":"j-000412","jobclass":"caption-index","owner":"digitisation-desk","shape":"batch","urgency":"standard",`+
		`"shots":2,"vcpus":1.0,"gpus":0.0,"mem_gb":3.5,"build":"img-01","size_gb":0.1,"rigs":null,"site":null,"one_zone":false,`+
		`"apart":false,"loaners":false,"guess_s":5.0,"snapshot_s":0.0,"flush_s":0.0,"due_s":null,"%s":"j-000999"}`, name)
	status, text := d.post("/work", j.UID, body)
	if status != 201 && status != 200 {
		return false, fmt.Errorf("not accepted: %d %s", status, text)
	}
	ok := true
	if !strings.Contains(text, `"j-000412"`) {
		rec.line("the answer names another job than the submitted one")
		ok = false
	}
	end := time.Now().Add(30 * time.Second)
	for {
		status, state, _ := d.poll("j-000412")
		if status == 404 {
			rec.line("forgotten: the accepted job j-000412 gets 404")
			ok = false
			break
		}
		if state == "done" || time.Now().After(end) {
			break
		}
		time.Sleep(2 * time.Second)
	}
	if status, text := d.call(d.nodes[0], http.MethodGet, "/work/j-000999", nil, 2*time.Second); status == 200 {
		rec.line("invented: j-000999, which nobody submitted, gets 200 %s", text)
		ok = false
	}
	return ok, nil
}
