package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are the parts of a deployment's settings that the stand-ins need as well.
type settings struct {
	reportS, leaseS, cancelS float64
	stateRPS, writeRPS       float64
	valueKB                  float64
	txnOps                   int
	cloudRPS, listLagS       float64
	cores, ramMB             float64
	sockets                  int
	teams                    string // TOML
}

// smallSettings are those of DEPLOY-drumpick.md.
func smallSettings() settings {
	return settings{
		reportS: 2, leaseS: 12, cancelS: 32, stateRPS: 150, writeRPS: 20, valueKB: 8, txnOps: 16, cloudRPS: 4, listLagS: 3,
		cores: 0.06, ramMB: 125, sockets: 1200,
		teams: "[[facts.teams]]\nname = \"digitisation-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
	}
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readBody reads a request body of at most 64 KiB.
func readBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxMessage+1))
	if err == nil && len(raw) > maxMessage {
		err = errors.New("body too large")
	}
	return raw, err
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// job is a job as a user submits it.
type job struct {
	UID          string   `json:"uid"`
	Class        string   `json:"jobclass"`
	Owner        string   `json:"owner"`
	Shape        string   `json:"shape"`
	Priority     string   `json:"urgency"`
	Tasks        int      `json:"shots"`
	CPUs         float64  `json:"vcpus"`
	GPUs         float64  `json:"gpus"`
	MemGB        float64  `json:"mem_gb"`
	Build        string   `json:"build"`
	SizeGB       float64  `json:"size_gb"`
	Types        []string `json:"rigs"`
	Site         *string  `json:"site"`
	OneZone      bool     `json:"one_zone"`
	Apart        bool     `json:"apart"`
	Spot         bool     `json:"loaners"`
	EstimateS    float64  `json:"guess_s"`
	SnapS        float64  `json:"snapshot_s"`
	SaveS        float64  `json:"flush_s"`
	DeadlineS    *float64 `json:"due_s"`
	Dependencies []string `json:"prereqs,omitempty"`
	realRunS     float64  // how long a task runs; 0: guess_s
}

// newJob returns an array of small tasks.
func newJob(id string, tasks int) *job {
	return &job{
		UID: id, Class: "caption-index", Owner: "digitisation-desk", Shape: "batch", Priority: "standard", Tasks: tasks,
		CPUs: 1, MemGB: 3.5, Build: "img-01", SizeGB: 0.1, EstimateS: 5,
	}
}

// node is one controller, a process of its own.
type node struct {
	name, zone, user, peer, config string
	cmd                            *exec.Cmd
	gone                           chan struct{} // closed when the process has ended
}

// deployment is a store, a cloud with its workers, and three controllers.
type deployment struct {
	s      settings
	dir    string
	rec    *record
	store  *store
	cloud  *cloud
	nodes  []*node
	strict bool // workers drop a response with a line beyond the protocol's limit

	mu          sync.Mutex
	jobs        map[string]*job
	done        map[string]bool
	present     map[string]string // by task, the machine that it is on
	starts      int
	leasesEnded int
	stopped     bool
	maxReport   int
	maxResponse int
}

var zones = []string{"serwerownia-stara", "serwerownia-nowa"}

func newDeployment(rec *record, s settings, types []machineType, machines int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "drumpick-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{s: s, dir: dir, rec: rec, strict: true, jobs: map[string]*job{}, done: map[string]bool{}, present: map[string]string{}}
	d.store = newStore(s)
	d.cloud = newCloud(d, types, machines)
	state, err := serve(d.store)
	if err != nil {
		return nil, err
	}
	cloudAddr, err := serve(d.cloud)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		n := &node{name: fmt.Sprintf("drummer-%d", i), zone: zones[i%2]}
		if n.user, err = freeAddr(); err != nil {
			return nil, err
		}
		if n.peer, err = freeAddr(); err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		n.config = filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(n.config, []byte(d.settingsFile(n, state, cloudAddr)), 0o600); err != nil {
			return nil, err
		}
	}
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return ln.Addr().String(), nil
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (d *deployment) settingsFile(n *node, state, cloudAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nzone = %q\nbind = %q\nback = %q\n", n.name, n.zone, n.user, n.peer)
	for _, other := range d.nodes {
		if other != n {
			fmt.Fprintf(&b, "[[seeds]]\nnode_name = %q\nzone = %q\npeer_addr = %q\n", other.name, other.zone, other.peer)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloudAddr, state)
	fmt.Fprintf(&b, "[facts]\nnodes = %d\nzones = [%q, %q]\ntime_bound_ms = 100.0\n%s", len(d.nodes), zones[0], zones[1], d.s.teams)
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n",
		d.s.reportS, d.s.leaseS, d.s.cancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", d.s.stateRPS, d.s.writeRPS, d.s.valueKB, d.s.txnOps)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", d.s.cloudRPS, d.s.listLagS)
	fmt.Fprintf(&b, "[facts.resources]\ncores = %.3f\nram_mb = %.1f\nfd_limit = %d\n", d.s.cores, d.s.ramMB, d.s.sockets)
	return b.String()
}

// start starts a controller with the command of the deploy file.
func (d *deployment) start(n *node) error {
	logFile, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	n.cmd = exec.Command("target/drumpick", "--options", "deploy/drumpick.ini", "--config", n.config)
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	n.cmd.Stderr = logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return errors.New("the case is over")
	}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		close(gone)
	}(n.cmd, n.gone)
	d.rec.line("%s: started, users at %s", n.name, n.user)
	return nil
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// stop ends all processes and adds the controllers' logs to the record.
func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	for _, n := range d.nodes {
		if n.gone != nil {
			_ = n.cmd.Process.Kill()
			<-n.gone
		}
		if raw, err := os.ReadFile(filepath.Join(d.dir, n.name+".log")); err == nil {
			d.rec.line("log of %s:\n%s", n.name, raw)
		}
	}
	_ = os.RemoveAll(d.dir)
}

// awaitReady waits until all controllers are ready and accept requests.
func (d *deployment) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range d.nodes {
		for {
			if status, _ := d.call(n, http.MethodGet, "/ready", nil, time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// call sends a user's request to a controller. The status is 0 if there is no response.
func (d *deployment) call(n *node, method, path string, body any, timeout time.Duration) (int, string) {
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case string:
		reader = strings.NewReader(b)
	default:
		raw, err := json.Marshal(b)
		if err != nil {
			return 0, err.Error()
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequest(method, "http://"+n.user+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: timeout}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

// submit submits a job as a user does: it repeats the request for up to 60 s until it is accepted or rejected.
func (d *deployment) submit(j *job) (int, string) {
	d.addJob(j)
	return d.post("/work", j.UID, j)
}

func (d *deployment) addJob(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[j.UID] = j
}

// post repeats a request at the controllers in turn until it gets an answer other than a 503 or 429.
func (d *deployment) post(path, name string, body any) (status int, text string) {
	return d.postFrom(0, path, name, body)
}

// postFrom is like post and begins at the controller with the given index.
func (d *deployment) postFrom(first int, path, name string, body any) (status int, text string) {
	end := time.Now().Add(60 * time.Second)
	for i := first; ; i++ {
		n := d.nodes[i%len(d.nodes)]
		status, text = d.call(n, http.MethodPost, path, body, 5*time.Second)
		d.rec.line("user: POST %s %s at %s: %d %s", path, name, n.name, status, text)
		if status == 200 || status == 201 || status == 400 || status == 422 || status == 404 || time.Now().After(end) {
			return status, text
		}
		time.Sleep(time.Second)
	}
}

// poll asks for a job's state at the controllers in turn, once each.
func (d *deployment) poll(id string) (status int, state string, done int) {
	for _, n := range d.nodes {
		var text string
		status, text = d.call(n, http.MethodGet, "/work/"+id, nil, 2*time.Second)
		d.rec.line("user: GET %s at %s: %d %s", id, n.name, status, text)
		if status == 200 || status == 404 {
			var body struct {
				Status string `json:"status"`
				Done   int    `json:"done"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			return status, body.Status, body.Done
		}
	}
	return status, "", 0
}

// awaitState polls a job every 2 s until it is in a state; it returns false after a time.
func (d *deployment) awaitState(id, want string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Second) {
		if _, state, _ := d.poll(id); state == want {
			return true
		}
	}
	return false
}

func (d *deployment) job(id string) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[id]
}

func (d *deployment) runTime(_ string, j *job) time.Duration {
	if j.realRunS > 0 {
		return seconds(j.realRunS)
	}
	return seconds(j.EstimateS)
}

func (d *deployment) isDone(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done[task]
}

func (d *deployment) setDone(task string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.done[task] = true
}

// doneTasks returns how many tasks of a job have completed on machines.
func (d *deployment) doneTasks(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for task := range d.done {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}

// enters records that a task is on its machine from now on.
func (d *deployment) enters(w *worker, a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if other, ok := d.present[a.Task]; ok {
		d.rec.line("ran_twice: %s starts on %s and is on %s", a.Task, w.host.name, other)
	}
	d.present[a.Task] = w.host.name
	d.starts++
}

// leaves records that a task is no longer on its machine.
func (d *deployment) leaves(_ *worker, a *attempt, _ string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.present, a.Task)
}

func (d *deployment) sawReport(w *worker, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if size > d.maxReport {
		d.maxReport = size
	}
	if size > maxMessage {
		d.rec.line("%s: its report has %d bytes", w.host.name, size)
	}
}

func (d *deployment) sawResponse(w *worker, raw []byte, orders int) {
	longest := 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		longest = max(longest, len(line))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxResponse = max(d.maxResponse, longest)
	if orders > 0 {
		d.rec.line("%s: response with %d orders, longest line %d bytes", w.host.name, orders, longest)
	}
}

// leaseEnded records that a machine's session ended by its lease.
func (d *deployment) leaseEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leasesEnded++
}

func (d *deployment) endedLeases() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leasesEnded
}

func (d *deployment) sizes() (report, response int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maxReport, d.maxResponse
}
