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

// processStarter starts processes from one thread that lives as long as the region: they are to
// be killed when their parent ends, however it ends, and the system takes the end of
// the thread that started them for that.
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
	// A group of its own: a Ctrl-C at the terminal is for the region to act on.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	processStarter() <- func() { failed <- cmd.Start() }
	return <-failed
}

// process is a controller that is started again whenever it ends.
type process struct {
	name         string
	args         []string
	env          []string
	logPath      string
	restartDelay time.Duration // between an end and the next start

	mu         sync.Mutex
	cmd        *exec.Cmd
	nextArgs   []string // its arguments from the next start on, where set
	starts     int
	down       bool // is not started again for now
	ended      chan struct{}
	quit       chan struct{}
	startError error // it ended at once, repeatedly
}

// run keeps the process up until stop.
func (p *process) run() {
	defer close(p.ended)
	quick := 0
	for {
		out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			p.setFailure(err)
			return
		}
		p.mu.Lock()
		if p.nextArgs != nil {
			p.args, p.nextArgs = p.nextArgs, nil
		}
		cmd := exec.Command(p.args[0], p.args[1:]...)
		p.mu.Unlock()
		cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), out, out
		began := time.Now()
		if err := StartProcess(cmd); err != nil {
			out.Close()
			p.setFailure(err)
			return
		}
		p.mu.Lock()
		p.cmd, p.starts = cmd, p.starts+1
		p.mu.Unlock()
		err = cmd.Wait()
		out.Close()
		var exit *exec.ExitError
		if killed := errors.As(err, &exit) && !exit.Exited(); killed || time.Since(began) > p.restartDelay {
			quick = 0
		} else if quick++; quick == 3 {
			p.setFailure(fmt.Errorf("%s ends at once (%v): %s (see %s)", p.name, err, lastLine(p.logPath), p.logPath))
			return
		}
		for {
			select {
			case <-p.quit:
				return
			case <-time.After(p.restartDelay):
			}
			p.mu.Lock()
			down := p.down
			p.mu.Unlock()
			if !down {
				break
			}
		}
	}
}

// lastLine is the end of a log.
func lastLine(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

func (p *process) setFailure(err error) {
	p.mu.Lock()
	p.startError = err
	p.mu.Unlock()
}

func (p *process) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startError
}

// pid is the process that runs now; 0: none does.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// kill ends the process as a crash would.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
	}
}

// stop ends the process for good.
func (p *process) stop() {
	close(p.quit)
	for {
		p.kill()
		select {
		case <-p.ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
