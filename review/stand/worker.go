package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxMessage is the protocol's limit on a request body and on a line of a response to a worker.
const maxMessage = 64 << 10

// worker is a stand-in for a machine's worker.
type worker struct {
	d    *deployment
	host *host
	addr string
	ln   net.Listener

	mu          sync.Mutex
	incarnation uint64
	sequence    uint64
	token       uint64
	leaseStart  time.Time
	tasks       map[string]*attempt // by "TASK TRY"
	images      map[string]time.Time
	ended       bool
	change      chan struct{}
	node        int // index of the controller that it reports to
}

type attempt struct {
	Task   string `json:"shot"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`

	job   *job
	since time.Time // of the status
	run   time.Duration
}

type order struct {
	Verb   string  `json:"verb"`
	Task   string  `json:"shot"`
	Try    uint64  `json:"try"`
	GraceS float64 `json:"wind_down_s"`
}

func startWorker(d *deployment, h *host) *worker {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		d.rec.line("%s: %v", h.name, err)
		return nil
	}
	w := &worker{
		d: d, host: h, addr: ln.Addr().String(), ln: ln, incarnation: 1, leaseStart: time.Now(),
		tasks: map[string]*attempt{}, images: map[string]time.Time{}, change: make(chan struct{}, 1),
		node: rand.IntN(len(d.nodes)),
	}
	d.rec.line("%s: up at %s", h.name, w.addr)
	go func() { _ = (&http.Server{Handler: w, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	go w.advanceLoop()
	go w.reportLoop()
	return w
}

func (w *worker) terminate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.ln.Close()
	w.forgetAll("the machine is gone")
}

// forgetAll kills and forgets all tasks. The caller must hold mu.
func (w *worker) forgetAll(why string) {
	n := 0
	for _, a := range w.tasks {
		if a.Status != "ended" {
			n++
			w.d.leaves(w, a, why)
		}
	}
	clear(w.tasks)
	if n > 0 {
		w.d.rec.line("%s: %d tasks killed: %s", w.host.name, n, why)
	}
}

func (w *worker) changed() {
	select {
	case w.change <- struct{}{}:
	default:
	}
}

func (w *worker) advanceLoop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		w.advance()
		w.mu.Unlock()
	}
}

// advance does what is due. The caller must hold mu.
func (w *worker) advance() {
	now := time.Now()
	if now.Sub(w.leaseStart) > seconds(w.d.s.leaseS) {
		w.d.rec.line("%s: lease has ended, session %d begins", w.host.name, w.incarnation+1)
		w.forgetAll("lease")
		w.d.leaseEnded()
		w.incarnation++
		w.leaseStart = now
		w.changed()
	}
	for _, a := range w.tasks {
		switch {
		case a.Status == "pulling" && !now.Before(w.images[a.job.Build]):
			if w.d.isDone(a.Task) {
				w.end(a, "done")
				continue
			}
			w.set(a, "running")
			w.d.enters(w, a)
		case a.Status == "running" && a.job.Shape != "service" && now.Sub(a.since) >= a.run:
			w.d.setDone(a.Task)
			w.d.leaves(w, a, "done")
			w.end(a, "done")
		}
	}
}

func (w *worker) set(a *attempt, status string) {
	a.Status, a.since = status, time.Now()
	w.changed()
}

func (w *worker) end(a *attempt, cause string) {
	a.Cause = cause
	w.set(a, "ended")
}

// execute executes orders. The caller must hold mu.
func (w *worker) execute(orders []order) {
	for _, o := range orders {
		key := fmt.Sprint(o.Task, " ", o.Try)
		a := w.tasks[key]
		switch {
		case o.Verb == "run" && a == nil:
			w.start(key, o)
		case o.Verb == "kill" && a != nil && a.Status != "ended":
			if a.Status == "running" {
				w.d.leaves(w, a, "stopped")
			}
			w.end(a, "stopped")
		case o.Verb == "reap" && a != nil && a.Status == "ended":
			delete(w.tasks, key)
		}
	}
}

func (w *worker) start(key string, o order) {
	id, _, _ := strings.Cut(o.Task, "/")
	j := w.d.job(id)
	a := &attempt{Task: o.Task, Try: o.Try, Status: "pulling", since: time.Now(), job: j}
	w.tasks[key] = a
	w.changed()
	if j == nil {
		w.end(a, "no_such")
		return
	}
	a.run = w.d.runTime(o.Task, j)
	cpus, mem := 0.0, 0.0
	for _, other := range w.tasks {
		if other.Status == "ended" {
			continue
		}
		if other != a && other.Task == a.Task {
			w.end(a, "busy")
			return
		}
		cpus += other.job.CPUs
		mem += other.job.MemGB
	}
	if cpus > w.host.typ.CPUs+1e-6 || mem > w.host.typ.MemGB+1e-6 {
		w.end(a, "full")
		return
	}
	if _, ok := w.images[j.Build]; !ok {
		w.images[j.Build] = time.Now().Add(seconds(j.SizeGB / w.host.typ.PullGBS))
	}
}

// report returns the next report. The caller must hold mu.
func (w *worker) report() []byte {
	w.sequence++
	tasks := make([]*attempt, 0, len(w.tasks))
	for _, a := range w.tasks {
		tasks = append(tasks, a)
	}
	sort.Slice(tasks, func(a, b int) bool { return tasks[a].Task < tasks[b].Task })
	raw, _ := json.Marshal(map[string]any{
		"host": w.host.name, "addr": w.addr, "rig": w.host.typ.Label, "site": w.host.site, "loaners": w.host.spot,
		"stint": w.incarnation, "tick": w.sequence, "baton": w.token, "warning_s": nil, "shots": tasks,
	})
	return raw
}

func (w *worker) reportLoop() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for {
		period := seconds(w.d.s.reportS * (0.75 + 0.5*rand.Float64()))
		sentAt := time.Now()
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		w.advance()
		body, incarnation, node := w.report(), w.incarnation, w.node
		w.mu.Unlock()
		if !w.send(client, node, body, incarnation, sentAt) {
			continue
		}
		select {
		case <-w.change:
			time.Sleep(time.Until(sentAt.Add(500 * time.Millisecond)))
		case <-time.After(time.Until(sentAt.Add(period))):
		}
	}
}

// send sends a report and executes the orders in the response. It returns false if the next report is to be
// sent at once: the worker has moved on to another controller.
func (w *worker) send(client *http.Client, node int, body []byte, incarnation uint64, sentAt time.Time) bool {
	moveOn := func(why string) bool {
		w.d.rec.line("%s: report of %d bytes to %s: %s", w.host.name, len(body), w.d.nodes[node].name, why)
		w.mu.Lock()
		w.node = (node + 1) % len(w.d.nodes)
		w.mu.Unlock()
		time.Sleep(time.Second)
		return false
	}
	w.d.sawReport(w, len(body))
	resp, err := client.Post("http://"+w.d.nodes[node].user+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return moveOn(err.Error())
	}
	raw, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return moveOn(err.Error())
	}
	var reply struct {
		Token  uint64  `json:"baton"`
		Orders []order `json:"orders"`
		Leader string  `json:"conductor"`
	}
	_ = json.Unmarshal(raw, &reply)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		for i, n := range w.d.nodes {
			if n.name == reply.Leader && i != node {
				client.CloseIdleConnections()
				w.mu.Lock()
				w.node = i
				w.mu.Unlock()
				return false
			}
		}
		return moveOn("421")
	case resp.StatusCode != http.StatusOK:
		return moveOn(resp.Status)
	}
	w.d.sawResponse(w, raw, len(reply.Orders))
	if w.d.strict && len(raw) > maxMessage {
		return moveOn(fmt.Sprintf("the response has a line of %d bytes", len(raw)))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || incarnation != w.incarnation || reply.Token < w.token {
		return true
	}
	w.token = reply.Token
	w.leaseStart = sentAt
	w.execute(reply.Orders)
	return true
}

// ServeHTTP serves direct commands.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	raw, err := readBody(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.advance()
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var body struct {
			Token       uint64  `json:"baton"`
			Incarnation uint64  `json:"stint"`
			Orders      []order `json:"orders"`
		}
		switch {
		case err != nil || json.Unmarshal(raw, &body) != nil || body.Token == 0 || body.Incarnation == 0:
			refuse(out, http.StatusBadRequest, "malformed")
			return
		case body.Token < w.token || body.Incarnation != w.incarnation:
			status = http.StatusConflict
		default:
			if body.Token > w.token {
				w.token = body.Token
				w.changed()
			}
			w.execute(body.Orders)
		}
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(w.report())
}
