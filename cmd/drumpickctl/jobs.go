package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"drumpick/client"
	"drumpick/internal/jobspec"

	"github.com/spf13/cobra"
)

// maxConcurrentRequests is the largest number of concurrent requests of one command.
const maxConcurrentRequests = 8

// forEachConcurrently calls action for every item, up to maxConcurrentRequests at a time, and returns the first error
// in the order of the items.
func forEachConcurrently[T any](items []T, action func(i int, item T) error) error {
	errs := make([]error, len(items))
	slots := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, item := range items {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			errs[i] = action(i, item)
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func submitCommand(f *globalFlags) *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit the jobs of a file (YAML or JSON; - is standard input)",
		Long: `Submit the jobs of a file: one job, a list under "jobs", or several documents, in
YAML or JSON (docs/client.md). All are checked before the first is sent. A job without an id
gets one. The id of a job with a name is printed before the job is sent: submitting a job again
under its id does not run it twice.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			jobs, err := readJobs(cmd.InOrStdin(), args[0])
			if err != nil {
				return &exitError{exitUsage, err}
			}
			c, err := f.newClient()
			if err != nil {
				return err
			}
			statuses, err := submitAll(cmd.Context(), c, jobs, cmd.ErrOrStderr())
			if err == nil && wait {
				statuses, err = f.waitAll(cmd, c, statuses)
			}
			if printErr := f.printStatuses(cmd.OutOrStdout(), statuses); err == nil {
				err = printErr
			}
			return err
		},
	}
	cmd.Flags().BoolVarP(&wait, "wait", "w", false, "wait until all jobs are final, showing progress")
	return cmd
}

// readJobs reads the jobs from a file, or from in if file is "-".
func readJobs(in io.Reader, file string) ([]jobspec.NamedJob, error) {
	if file == "-" {
		return jobspec.Read("standard input", in, client.NewID)
	}
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	return jobspec.Read(file, opened, client.NewID)
}

// submitAll submits jobs in waves: a job is sent once the jobs of the file that it depends on are accepted.
// After an error it sends no further wave. The statuses have the order of the jobs; a job that was not accepted has
// the status "not accepted".
func submitAll(ctx context.Context, c *client.Client, jobs []jobspec.NamedJob, errOut io.Writer) ([]client.Status, error) {
	statuses := make([]client.Status, 0, len(jobs))
	for _, j := range jobs {
		statuses = append(statuses, client.Status{ID: j.ID, Status: "not accepted"})
	}
	for start := 0; start < len(jobs); {
		end := start + waveLength(jobs[start:])
		err := forEachConcurrently(jobs[start:end], func(i int, j jobspec.NamedJob) error {
			if j.Name != "" {
				fmt.Fprintf(errOut, "%s is %s\n", j.Name, j.ID)
			}
			st, _, err := c.Submit(ctx, j.Job)
			if err == nil {
				statuses[start+i] = st
			}
			return err
		})
		if err != nil {
			return statuses, err
		}
		start = end
	}
	return statuses, nil
}

// waveLength returns how many jobs at the start of the list do not depend on each other.
func waveLength(jobs []jobspec.NamedJob) int {
	inWave := map[string]bool{}
	for n, j := range jobs {
		if slices.ContainsFunc(j.Dependencies, func(id string) bool { return inWave[id] }) {
			return n
		}
		inWave[j.ID] = true
	}
	return len(jobs)
}

// waitAll waits until jobs are final, showing progress. A service is final only once it is cancelled. A cancelled job
// gives an error with exit code exitCancelled.
func (f *globalFlags) waitAll(cmd *cobra.Command, c *client.Client, statuses []client.Status) ([]client.Status, error) {
	p := newProgress(cmd.ErrOrStderr(), statuses)
	defer p.close()
	var wg sync.WaitGroup
	errs := make([]error, len(statuses))
	for i, st := range statuses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			statuses[i], errs[i] = c.Wait(cmd.Context(), st.ID, func(st client.Status) { p.update(i, st) })
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return statuses, err
		}
		if statuses[i].Status == client.Cancelled {
			errs[0] = &exitError{exitCancelled, fmt.Errorf("job %s was cancelled", statuses[i].ID)}
		}
	}
	return statuses, errs[0]
}

// printStatuses prints the statuses of jobs.
func (f *globalFlags) printStatuses(out io.Writer, statuses []client.Status) error {
	return f.printOutput(out, statuses, func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tSTATUS\tDONE\tRUNNING")
		for _, s := range statuses {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", s.ID, s.Status, s.Done, s.Running)
		}
	})
}

// jobRequest sends a request about a job.
type jobRequest func(c *client.Client, ctx context.Context, id string) (client.Status, error)

// jobRequestCommand returns a command that sends a request about each job and prints their statuses.
func jobRequestCommand(f *globalFlags, use, short string, send jobRequest) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, ids []string) error {
			c, err := f.newClient()
			if err != nil {
				return err
			}
			statuses := make([]client.Status, len(ids))
			err = forEachConcurrently(ids, func(i int, id string) error {
				statuses[i].ID, statuses[i].Status = id, "unknown"
				st, err := send(c, cmd.Context(), id)
				if err == nil {
					statuses[i] = st
				}
				return err
			})
			if printErr := f.printStatuses(cmd.OutOrStdout(), statuses); err == nil {
				err = printErr
			}
			return err
		},
	}
}

func getCommand(f *globalFlags) *cobra.Command {
	return jobRequestCommand(f, "get JOB...", "Show the status of jobs", (*client.Client).Get)
}

func cancelCommand(f *globalFlags) *cobra.Command {
	return jobRequestCommand(f, "cancel JOB...", "Cancel jobs, and all jobs that depend on them", (*client.Client).Cancel)
}

func watchCommand(f *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "watch JOB...", Short: "Show the progress of jobs until they are final", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, ids []string) error {
			c, err := f.newClient()
			if err != nil {
				return err
			}
			statuses := make([]client.Status, len(ids))
			for i, id := range ids {
				statuses[i].ID = id
			}
			statuses, err = f.waitAll(cmd, c, statuses)
			if printErr := f.printStatuses(cmd.OutOrStdout(), statuses); err == nil {
				err = printErr
			}
			return err
		},
	}
}
