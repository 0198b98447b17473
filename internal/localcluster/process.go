package localcluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processStarter starts processes from one thread that lives as long as this process: they are to be killed when
// their parent ends, however it ends, and the system takes the end of the thread that started them for that.
var processStarter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// StartProcess starts a process that is killed when this one ends, however it ends.
func StartProcess(cmd *exec.Cmd) error {
	// A group of its own: a Ctrl-C at the terminal is for the cluster to act on.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	processStarter() <- func() { failed <- cmd.Start() }
	return <-failed
}

const (
	// maxQuickExits is how often in a row a process may end at once before it is given up.
	maxQuickExits = 3
	// killRetryInterval is how often a process is killed anew until it has ended.
	killRetryInterval = 50 * time.Millisecond
)

// supervisedProcess is a controller that is started again whenever it ends.
type supervisedProcess struct {
	name         string
	env          []string
	logPath      string
	restartDelay time.Duration // between an end and the next start

	quit  chan struct{} // closed by stop
	ended chan struct{} // closed when run has returned

	mu           sync.Mutex // guards what follows
	args         []string
	nextArgs     []string // from the next start on, where set
	cmd          *exec.Cmd
	permanentErr error // why it was given up
}

// run keeps the process up until stop, or until it cannot be kept up.
func (p *supervisedProcess) run() {
	defer close(p.ended)
	quickEnds := 0
	for {
		began := time.Now()
		err := p.runOnce()
		var start *startError
		if errors.As(err, &start) {
			p.setFailure(start.err)
			return
		}
		var exit *exec.ExitError
		killed := errors.As(err, &exit) && !exit.Exited()
		if killed || time.Since(began) > p.restartDelay {
			quickEnds = 0
		} else if quickEnds++; quickEnds == maxQuickExits {
			p.setFailure(fmt.Errorf("%s ends at once (%v): %s (see %s)", p.name, err, lastLine(p.logPath), p.logPath))
			return
		}
		select {
		case <-p.quit:
			return
		case <-time.After(p.restartDelay):
		}
	}
}

// startError says that a process could not be started.
type startError struct{ err error }

func (e *startError) Error() string { return e.err.Error() }

// runOnce starts the process and waits for its end. The error is a startError, or how it ended.
func (p *supervisedProcess) runOnce() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &startError{err}
	}
	defer log.Close()
	p.mu.Lock()
	if p.nextArgs != nil {
		p.args, p.nextArgs = p.nextArgs, nil
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	p.mu.Unlock()
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), log, log
	if err := StartProcess(cmd); err != nil {
		return &startError{err}
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	return cmd.Wait()
}

// lastLine returns the last line of a log, or why it cannot be read.
func lastLine(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

func (p *supervisedProcess) setFailure(err error) {
	p.mu.Lock()
	p.permanentErr = err
	p.mu.Unlock()
}

// failure returns why the process was given up; nil: it was not.
func (p *supervisedProcess) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permanentErr
}

// pid returns the id of the process that runs now; 0: none does.
func (p *supervisedProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// kill ends the process as a crash would.
func (p *supervisedProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
}

// stop ends the process for good.
func (p *supervisedProcess) stop() {
	close(p.quit)
	for {
		p.kill()
		select {
		case <-p.ended:
			return
		case <-time.After(killRetryInterval):
		}
	}
}
