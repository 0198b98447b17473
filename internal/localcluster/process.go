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

// processStarter returns a channel of functions that run on one OS thread, which lives as long as this process.
// Pdeathsig kills a child when the thread that started it ends, so children must be started on a thread that does not
// end before this process.
var processStarter = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range calls {
			f()
		}
	}()
	return calls
})

// StartProcess starts a child process, which the kernel kills when this process ends for any reason.
func StartProcess(cmd *exec.Cmd) error {
	// A separate process group keeps Ctrl-C at the terminal from reaching the child. The parent stops the child instead.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	processStarter() <- func() { failed <- cmd.Start() }
	return <-failed
}

const (
	// maxQuickExits is the number of consecutive exits within restartDelay, other than by a signal, after which a
	// process is not restarted.
	maxQuickExits = 3
	// killRetryInterval is the interval at which stop kills a process until it has ended.
	killRetryInterval = 50 * time.Millisecond
)

// supervisedProcess is a controller process that is restarted whenever it ends.
type supervisedProcess struct {
	name         string
	env          []string      // NAME=VALUE, in addition to the environment of this process
	logPath      string        // receives standard output and error of every start
	restartDelay time.Duration // delay between an exit and the next start

	quit  chan struct{} // closed by stop
	ended chan struct{} // closed when run returns

	mu           sync.Mutex // guards the fields below
	args         []string
	nextArgs     []string // replaces args at the next start, if set
	cmd          *exec.Cmd
	permanentErr error // why the process is no longer restarted; nil while it is restarted
}

// run starts the process, and restarts it whenever it ends. It returns once stop was called, or after a permanent
// failure: the process could not be started, or made maxQuickExits.
func (p *supervisedProcess) run() {
	defer close(p.ended)
	quickExits := 0
	for {
		startedAt := time.Now()
		err := p.runOnce()
		var startErr *startError
		if errors.As(err, &startErr) {
			p.setFailure(startErr.err)
			return
		}
		var exitErr *exec.ExitError
		killed := errors.As(err, &exitErr) && !exitErr.Exited()
		if killed || time.Since(startedAt) > p.restartDelay {
			quickExits = 0
		} else if quickExits++; quickExits == maxQuickExits {
			p.setFailure(fmt.Errorf("%s exits immediately (%v): %s (see %s)", p.name, err, lastLine(p.logPath), p.logPath))
			return
		}
		select {
		case <-p.quit:
			return
		case <-time.After(p.restartDelay):
		}
	}
}

// startError means that a process could not be started.
type startError struct{ err error }

func (e *startError) Error() string { return e.err.Error() }

// runOnce starts the process and waits until it ends. It returns a startError, or the error of exec.Cmd.Wait.
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

// lastLine returns the last line of a log file, or the error text if it cannot be read.
func lastLine(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

// setFailure records why run no longer restarts the process.
func (p *supervisedProcess) setFailure(err error) {
	p.mu.Lock()
	p.permanentErr = err
	p.mu.Unlock()
}

// failure returns why the process is no longer restarted, or nil while it is restarted.
func (p *supervisedProcess) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permanentErr
}

// pid returns the ID of the process that was started last, or 0 if none was.
func (p *supervisedProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// kill sends SIGKILL to the process, like a crash. run then restarts the process.
func (p *supervisedProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
}

// stop kills the process, ends its restarts, and waits until run has returned.
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
