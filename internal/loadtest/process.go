package loadtest

import (
	"bufio"
	"context"
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
	"drumpick/internal/jsoncodec"
	"drumpick/internal/localcluster"

	"github.com/gofiber/fiber/v2"
)

// Roles of the child processes, as command-line arguments.
const (
	RoleWorkers = "workers"
	RoleStore   = "state"
)

// childAddrs are the addresses that a child process writes as the first line of its output.
type childAddrs struct {
	ControlAddr string `json:"addr"`    // for the process that started it
	StoreAddr   string `json:"service"` // of the store, for the controllers; empty in other roles
}

// child is a child process that runs the load test's executable in a role.
type child struct {
	cmd    *exec.Cmd
	client *httpclient.Client
	childAddrs
}

// childStartTimeout is the maximum time from the start of a child until it writes its addresses.
const childStartTimeout = 20 * time.Second

// startChild starts a child process and waits for its addresses. The child's standard error goes to logFile.
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
			err = jsoncodec.Unmarshal(line, &c.childAddrs)
		}
		ready <- err
		_, _ = io.Copy(io.Discard, out)
	}()
	select {
	case err = <-ready:
	case <-time.After(childStartTimeout):
		err = errors.New("timed out waiting for the child process to write its addresses")
	}
	if err != nil {
		c.stop()
		return nil, fmt.Errorf("%s: %w (see %s)", strings.Join(arguments, " "), err, logFile)
	}
	c.client = httpclient.New(c.ControlAddr, 64, time.Second)
	return c, nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// stop kills the child process and waits until it has ended.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// childRequestTimeout is the timeout of a request to a child.
const childRequestTimeout = 30 * time.Second

// request sends a JSON request to the child and decodes the response into out, unless out is nil. A status other than
// 200 is an error.
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
	return jsoncodec.Unmarshal(raw, out)
}

// ServeChild runs a role until the process receives an interrupt or SIGTERM. It writes the addresses of its listeners
// to out. data is the directory in which the store keeps its file; other roles ignore it.
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
	if err := jsoncodec.NewEncoder(out).Encode(addrs); err != nil {
		return err
	}
	go func() { _ = app.Listener(ln) }()
	<-ctx.Done()
	return nil
}
