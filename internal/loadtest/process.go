package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"drumpick/internal/httpclient"
	"drumpick/internal/localcluster"

	"github.com/gofiber/fiber/v2"
)

// Roles of a run's processes, as arguments of this program.
const (
	RoleWorkers = "workers"
	RoleStore   = "state"
)

// childAddrs is the first line of a child's output: where it is reached.
type childAddrs struct {
	ControlAddr string `json:"addr"`    // for the run that started it
	StoreAddr   string `json:"service"` // for controllers
}

// child is a process of this program.
type child struct {
	cmd    *exec.Cmd
	client *httpclient.Client
	childAddrs
}

// childStartTimeout bounds how long a child may take to write its addresses.
const childStartTimeout = 20 * time.Second

// startChild starts this program in a role.
func startChild(program, logFile string, arguments ...string) (*child, error) {
	log, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := &child{cmd: exec.Command(program, arguments...)}
	c.cmd.Stderr = log
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := localcluster.StartProcess(c.cmd); err != nil {
		return nil, err
	}
	ready := make(chan error, 1)
	go func() {
		line, err := bufio.NewReader(out).ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &c.childAddrs)
		}
		ready <- err
		_, _ = io.Copy(io.Discard, out)
	}()
	select {
	case err = <-ready:
	case <-time.After(childStartTimeout):
		err = errors.New("it does not say where it is reached")
	}
	if err != nil {
		c.stop()
		return nil, fmt.Errorf("%s: %w (see %s)", strings.Join(arguments, " "), err, logFile)
	}
	c.client = httpclient.New(c.ControlAddr, 64, time.Second)
	return c, nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// stop ends the process.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// childRequestTimeout bounds a request to a child.
const childRequestTimeout = 30 * time.Second

// request sends a request to the child and reads the answer into out, unless that is nil.
func (c *child) request(method, path string, in, out any) error {
	status, raw, err := c.client.DoJSON(method, path, in, time.Now().Add(childRequestTimeout))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, path, status, raw)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(raw, out)
}

// ServeChild runs a role until it is told to stop, and writes to out where it is reached.
func ServeChild(role, data string, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := newApp()
	var addrs childAddrs
	switch role {
	case RoleWorkers:
		NewHollowWorkers(ctx).Mount(app)
	case RoleStore:
		requests := newStoreCounts()
		addr, err := localcluster.ServeStore(ctx, filepath.Join(data, "state.db"), requests.count)
		if err != nil {
			return err
		}
		addrs.StoreAddr = addr
		app.Get("/counts", func(c *fiber.Ctx) error { return c.JSON(requests.read()) })
	default:
		return &UsageError{"role", fmt.Sprintf("%q is neither %s nor %s", role, RoleWorkers, RoleStore)}
	}
	ln, err := listenLocal()
	if err != nil {
		return err
	}
	addrs.ControlAddr = ln.Addr().String()
	if err := json.NewEncoder(out).Encode(addrs); err != nil {
		return err
	}
	go func() { _ = app.Listener(ln) }()
	<-ctx.Done()
	return nil
}
