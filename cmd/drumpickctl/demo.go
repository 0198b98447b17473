package main

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"drumpick/client"
	"drumpick/internal/ctxtime"
	"drumpick/internal/jobspec"
	"drumpick/internal/localcluster"

	"github.com/spf13/cobra"
)

//go:embed sample.yaml
var sampleJobs []byte

// demo runs the sample jobs on a new local cluster, in a temporary directory unless --data is set.
func (f *globalFlags) demo(cmd *cobra.Command, o localcluster.Options) error {
	data := f.dataDir
	if data == "" {
		dir, err := os.MkdirTemp("", "drumpick-demo-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		data = dir
	}
	return f.withCluster(cmd, o, data, func(cluster *localcluster.Cluster) error { return f.runSample(cmd, cluster) })
}

// runSample runs the sample jobs and prints the result.
func (f *globalFlags) runSample(cmd *cobra.Command, cluster *localcluster.Cluster) error {
	errOut := cmd.ErrOrStderr()
	fmt.Fprintf(errOut, "three controllers, a state service and a cloud are running on loopback; submitting sample jobs\n")
	jobs, err := jobspec.Read("sample.yaml", bytes.NewReader(sampleJobs), client.NewID)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	c := cluster.Client()
	statuses, err := submitAll(cmd.Context(), c, jobs, errOut)
	if err != nil {
		return err
	}
	if err := f.finishSample(cmd, c, jobs, statuses); err != nil {
		return err
	}
	// The tasks of the cancelled service stop within the cancellation time limit.
	for cluster.Environment.Running() > 0 {
		if err := ctxtime.Sleep(cmd.Context(), 100*time.Millisecond); err != nil {
			return err
		}
	}
	history := cluster.History()
	result := newSampleResult(jobs, statuses, history, startedAt)
	if err := f.printOutput(cmd.OutOrStdout(), result, func(w io.Writer) { showDemo(w, result, startedAt) }); err != nil {
		return err
	}
	if len(history.Violations) > 0 {
		return errors.New("rules of the protocol were violated: " + strings.Join(history.Violations, "; "))
	}
	return nil
}

// finishSample waits until the jobs that are not services are final, cancels the services, and updates statuses.
func (f *globalFlags) finishSample(cmd *cobra.Command, c *client.Client, jobs []jobspec.NamedJob, statuses []client.Status) error {
	var finite []client.Status
	for i, j := range jobs {
		if j.Shape != client.Service {
			finite = append(finite, statuses[i])
		}
	}
	if _, err := f.waitAll(cmd, c, finite); err != nil {
		return err
	}
	for i, j := range jobs {
		request := c.Get
		if j.Shape == client.Service {
			request = c.Cancel // a service ends only when cancelled
		}
		var err error
		if statuses[i], err = request(cmd.Context(), j.ID); err != nil {
			return err
		}
	}
	return nil
}

// jobResult is the result of a sample job. Times are in seconds since the start of the demo.
type jobResult struct {
	Name        string   `json:"name"`
	ID          string   `json:"id"`
	Status      string   `json:"status"`
	Tasks       int      `json:"tasks"`
	Starts      int      `json:"starts"` // number of attempts of its tasks
	FirstStartS float64  `json:"first_start_s"`
	LastEndS    float64  `json:"last_end_s"`
	Machines    []string `json:"machines"`
	Zones       []string `json:"zones"`
}

// sampleResult is the result of the sample jobs.
type sampleResult struct {
	Jobs    []jobResult          `json:"jobs"`
	History localcluster.History `json:"history"`
	Cost    float64              `json:"cost"`
}

// newSampleResult computes the result of the sample jobs from their statuses and the cluster's history.
func newSampleResult(jobs []jobspec.NamedJob, statuses []client.Status, history localcluster.History, startedAt time.Time) sampleResult {
	result := sampleResult{History: history}
	for i, j := range jobs {
		job := jobResult{Name: j.Name, ID: j.ID, Status: statuses[i].Status, Tasks: j.Tasks}
		machines, zones := map[string]bool{}, map[string]bool{}
		for _, run := range history.Runs {
			if !strings.HasPrefix(run.Task, j.ID+"/") {
				continue
			}
			from, to := run.Started.Sub(startedAt).Seconds(), run.Ended.Sub(startedAt).Seconds()
			if job.Starts == 0 || from < job.FirstStartS {
				job.FirstStartS = from
			}
			job.Starts++
			job.LastEndS = max(job.LastEndS, to)
			machines[run.Machine], zones[run.Zone] = true, true
		}
		job.Machines, job.Zones = slices.Sorted(maps.Keys(machines)), slices.Sorted(maps.Keys(zones))
		result.Jobs = append(result.Jobs, job)
	}
	for _, rental := range history.Costs {
		result.Cost += rental.Cost
	}
	return result
}

// showDemo prints the result of the sample jobs of a demo that started at startedAt.
func showDemo(w io.Writer, result sampleResult, startedAt time.Time) {
	history := result.History
	fmt.Fprintln(w, "\nJOB\tID\tSTATUS\tTASKS\tSTARTS\tFIRST START\tLAST END\tMACHINES\tZONES")
	for _, j := range result.Jobs {
		first, last := fmt.Sprintf("%.1fs", j.FirstStartS), fmt.Sprintf("%.1fs", j.LastEndS)
		if j.Starts == 0 {
			first, last = "-", "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", j.Name, j.ID, j.Status, j.Tasks, j.Starts, first, last,
			abbreviateList(j.Machines), strings.Join(j.Zones, " "))
	}
	fmt.Fprintln(w, "\nMACHINE\tTYPE\tZONE\tKIND\tTASKS\tCOST")
	for _, rental := range history.Costs {
		n := 0
		for _, run := range history.Runs {
			if run.Machine == rental.Machine {
				n++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.4f\n", rental.Machine, rental.Type, rental.Zone, machineKind(rental.Spot), n, rental.Cost)
	}
	fmt.Fprintf(w, "\n%d starts on %d machines in %.0fs, cost %.4f; rules broken: %d\n",
		len(history.Runs), len(history.Costs), time.Since(startedAt).Seconds(), result.Cost, len(history.Violations))
}

// abbreviateList joins names and replaces all after the third by their number.
func abbreviateList(names []string) string {
	if len(names) > 3 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], " "), len(names)-3)
	}
	return strings.Join(names, " ")
}
