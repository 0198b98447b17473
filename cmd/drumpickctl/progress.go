package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"drumpick/client"

	"golang.org/x/term"
)

// progress shows the progress of jobs: on a terminal one line that is updated in place, else a line for each change.
type progress struct {
	out       io.Writer
	terminal  bool
	startedAt time.Time
	done      chan struct{} // closed to stop run
	ended     sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	statuses []client.Status
	lastText string
}

// progressInterval is the interval between updates of the shown progress.
const progressInterval = 500 * time.Millisecond

func newProgress(out io.Writer, statuses []client.Status) *progress {
	p := &progress{out: out, startedAt: time.Now(), done: make(chan struct{}), statuses: append([]client.Status(nil), statuses...)}
	if file, ok := out.(*os.File); ok {
		p.terminal = term.IsTerminal(int(file.Fd()))
	}
	p.ended.Add(1)
	go p.run()
	return p
}

// run shows the progress until close is called.
func (p *progress) run() {
	defer p.ended.Done()
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			p.show()
			if p.terminal {
				fmt.Fprintln(p.out)
			}
			return
		case <-t.C:
			p.show()
		}
	}
}

// update records the status of job i.
func (p *progress) update(i int, st client.Status) {
	p.mu.Lock()
	p.statuses[i] = st
	p.mu.Unlock()
}

// show prints the progress if it has changed; on a terminal always, to update the elapsed time.
func (p *progress) show() {
	p.mu.Lock()
	final, running, done := 0, 0, 0
	for _, st := range p.statuses {
		if st.IsFinal() {
			final++
		}
		running, done = running+st.Running, done+st.Done
	}
	text := fmt.Sprintf("%d of %d jobs over, %d tasks running, %d done", final, len(p.statuses), running, done)
	unchanged := text == p.lastText
	p.lastText = text
	p.mu.Unlock()
	elapsed := time.Since(p.startedAt).Round(time.Second)
	switch {
	case p.terminal:
		fmt.Fprintf(p.out, "\r\033[K%4s  %s", elapsed, text)
	case !unchanged:
		fmt.Fprintf(p.out, "%4s  %s\n", elapsed, text)
	}
}

// close shows the final progress and stops run.
func (p *progress) close() {
	close(p.done)
	p.ended.Wait()
}
