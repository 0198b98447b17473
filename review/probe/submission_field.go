package main

import (
	"errors"
	"time"
)

// submissionWithNewField: a submission has one more field, "Shots", which the pages do not know. The rule is broken if
// the job is called done before all of its tasks have completed on a worker.
func submissionWithNewField(d *deployment) (broken bool, err error) {
	const tasks = 6
	job := pressExport("j-000413", tasks)
	if d.trouble {
		job = withField(job, `"Shots":1`)
	}
	if !d.submit(job) {
		return false, errors.New("no controller accepted the job")
	}
	if !d.pollUntilDone("j-000413", time.Now().Add(80*time.Second)) {
		return false, errors.New("no controller called the job done")
	}
	completed := map[string]bool{}
	for _, run := range d.History().Runs {
		d.printf("worker of %s: %s ran for %.1f s, ended: %s", run.Machine, run.Task, run.Ended.Sub(run.Started).Seconds(), run.Cause)
		if run.Cause == "done" {
			completed[run.Task] = true
		}
	}
	d.printf("%d of the %d submitted tasks have completed", len(completed), tasks)
	return len(completed) < tasks, nil
}
