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

// demo runs the sample jobs on a local cluster of their own.
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

// runSample runs the sample jobs and prints what became of them.
func (f *globalFlags) runSample(cmd *cobra.Command, cluster *localcluster.Cluster) error {
	errs := cmd.ErrOrStderr()
	fmt.Fprintf(errs, "three controllers, a state service and a cloud run on loopback; submitting sample jobs\n")
	jobs, err := jobspec.Read("sample.yaml", bytes.NewReader(sampleJobs), client.NewID)
	if err != nil {
		return err
	}
	began := time.Now()
	c := cluster.Client()
	states, err := submitAll(cmd.Context(), c, jobs, errs)
	if err != nil {
		return err
	}
	if err := f.finishSample(cmd, c, jobs, states); err != nil {
		return err
	}
	// What a cancelled service left running is gone within the time that cancellations have.
	for cluster.Environment.Running() > 0 {
		if err := ctxtime.Sleep(cmd.Context(), 100*time.Millisecond); err != nil {
			return err
		}
	}
	h := cluster.History()
	res := newSampleResult(jobs, states, h, began)
	if err := f.printOutput(cmd.OutOrStdout(), res, func(w io.Writer) { showDemo(w, res, began) }); err != nil {
		return err
	}
	if len(h.Violations) > 0 {
		return errors.New("rules of the protocol were broken: " + strings.Join(h.Violations, "; "))
	}
	return nil
}

// finishSample waits until the jobs that end by themselves are final, cancels the others, and updates the states.
func (f *globalFlags) finishSample(cmd *cobra.Command, c *client.Client, jobs []jobspec.NamedJob, states []client.Status) error {
	var ending []client.Status
	for i, j := range jobs {
		if j.Shape != client.Service {
			ending = append(ending, states[i])
		}
	}
	if _, err := f.waitAll(cmd, c, ending); err != nil {
		return err
	}
	for i, j := range jobs {
		finalState := c.Get
		if j.Shape == client.Service {
			finalState = c.Cancel // a service runs until it is cancelled
		}
		var err error
		if states[i], err = finalState(cmd.Context(), j.ID); err != nil {
			return err
		}
	}
	return nil
}

// jobResult is what became of a sample job. Times are in seconds since the demo began.
type jobResult struct {
	Name        string   `json:"name"`
	ID          string   `json:"id"`
	Status      string   `json:"status"`
	Tasks       int      `json:"tasks"`
	Starts      int      `json:"starts"`
	FirstStartS float64  `json:"first_start_s"`
	LastEndS    float64  `json:"last_end_s"`
	Machines    []string `json:"machines"`
	Zones       []string `json:"zones"`
}

// sampleResult is what became of the sample jobs.
type sampleResult struct {
	Jobs    []jobResult          `json:"jobs"`
	History localcluster.History `json:"history"`
	Cost    float64              `json:"cost"`
}

// newSampleResult works out what became of the sample jobs.
func newSampleResult(jobs []jobspec.NamedJob, states []client.Status, h localcluster.History, began time.Time) sampleResult {
	res := sampleResult{History: h}
	for i, j := range jobs {
		out := jobResult{Name: j.Name, ID: j.ID, Status: states[i].Status, Tasks: j.Tasks}
		machines, zones := map[string]bool{}, map[string]bool{}
		for _, ran := range h.Runs {
			if !strings.HasPrefix(ran.Task, j.ID+"/") {
				continue
			}
			from, to := ran.Started.Sub(began).Seconds(), ran.Ended.Sub(began).Seconds()
			if out.Starts == 0 || from < out.FirstStartS {
				out.FirstStartS = from
			}
			out.Starts++
			out.LastEndS = max(out.LastEndS, to)
			machines[ran.Machine], zones[ran.Zone] = true, true
		}
		out.Machines, out.Zones = slices.Sorted(maps.Keys(machines)), slices.Sorted(maps.Keys(zones))
		res.Jobs = append(res.Jobs, out)
	}
	for _, b := range h.Costs {
		res.Cost += b.Cost
	}
	return res
}

// showDemo prints a result, after a demo that began at a time.
func showDemo(w io.Writer, res sampleResult, began time.Time) {
	h := res.History
	fmt.Fprintln(w, "\nJOB\tID\tSTATUS\tTASKS\tSTARTS\tFIRST START\tLAST END\tMACHINES\tZONES")
	for _, j := range res.Jobs {
		first, last := fmt.Sprintf("%.1fs", j.FirstStartS), fmt.Sprintf("%.1fs", j.LastEndS)
		if j.Starts == 0 {
			first, last = "-", "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", j.Name, j.ID, j.Status, j.Tasks, j.Starts, first, last,
			abbreviateList(j.Machines), strings.Join(j.Zones, " "))
	}
	fmt.Fprintln(w, "\nMACHINE\tTYPE\tZONE\tKIND\tTASKS\tCOST")
	for _, b := range h.Costs {
		n := 0
		for _, ran := range h.Runs {
			if ran.Machine == b.Machine {
				n++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.4f\n", b.Machine, b.Type, b.Zone, machineKind(b.Spot), n, b.Cost)
	}
	fmt.Fprintf(w, "\n%d starts on %d machines in %.0fs, cost %.4f; rules broken: %d\n",
		len(h.Runs), len(h.Costs), time.Since(began).Seconds(), res.Cost, len(h.Violations))
}

// abbreviateList returns a list of names, shortened after the first few.
func abbreviateList(names []string) string {
	if len(names) > 3 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], " "), len(names)-3)
	}
	return strings.Join(names, " ")
}
