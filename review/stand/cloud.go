package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a machine type that the cloud offers.
type machineType struct {
	Label    string   `json:"label"`
	CPUs     float64  `json:"vcpus"`
	GPUs     float64  `json:"gpus"`
	MemGB    float64  `json:"mem_gb"`
	LocalGB  float64  `json:"local_gb"`
	PullGBS  float64  `json:"pull_gb_per_s"`
	Hourly   float64  `json:"hourly"`
	LowPrice float64  `json:"low_price"`
	StartupS float64  `json:"startup_s"`
	Sites    []string `json:"sites"`
}

// cloud is a stand-in for the cloud. Its list shows a change list_lag_s later.
type cloud struct {
	mu       sync.Mutex
	d        *deployment
	types    []machineType
	capacity int // machines that may be rented at a time
	bookings map[string][]string
	hosts    map[string]*host
	last     int
}

type host struct {
	name   string
	typ    machineType
	site   string
	spot   bool
	rented time.Time
	gone   time.Time // zero: not gone
	worker *worker   // nil while booting
}

func newCloud(d *deployment, types []machineType, capacity int) *cloud {
	return &cloud{d: d, types: types, capacity: capacity, bookings: map[string][]string{}, hosts: map[string]*host{}}
}

// ServeHTTP serves the cloud's protocol.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/machine_types":
		answer(w, http.StatusOK, map[string]any{"rigs": c.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.rent(w, r)
	case r.URL.Path == "/machines/return":
		c.giveBack(w, r)
	case r.URL.Path == "/machines":
		c.list(w, r)
	default:
		refuse(w, http.StatusBadRequest, "malformed")
	}
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Request string `json:"booking"`
		Type    string `json:"rig"`
		Site    string `json:"site"`
		Spot    bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	raw, err := readBody(r)
	if err != nil || json.Unmarshal(raw, &body) != nil || body.Count < 1 || body.Count > 50 {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.bookings[body.Request]; ok {
		answer(w, http.StatusOK, map[string]any{"hosts": names})
		return
	}
	up := 0
	for _, h := range c.hosts {
		if h.gone.IsZero() {
			up++
		}
	}
	if up >= c.capacity {
		refuse(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	var names []string
	for range min(body.Count, c.capacity-up) {
		c.last++
		h := &host{name: fmt.Sprintf("m-%06d", c.last), site: body.Site, spot: body.Spot, rented: time.Now()}
		for _, t := range c.types {
			if t.Label == body.Type {
				h.typ = t
			}
		}
		c.hosts[h.name] = h
		names = append(names, h.name)
		go c.boot(h)
	}
	c.bookings[body.Request] = names
	c.d.rec.line("cloud: %s rents %d x %s in %s: %v", body.Request, body.Count, body.Type, body.Site, names)
	answer(w, http.StatusOK, map[string]any{"hosts": names})
}

func (c *cloud) boot(h *host) {
	time.Sleep(time.Duration(h.typ.StartupS * float64(time.Second)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.gone.IsZero() {
		h.worker = startWorker(c.d, h)
	}
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	raw, err := readBody(r)
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Hosts) > 100 {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	c.mu.Lock()
	for _, name := range body.Hosts {
		if h := c.hosts[name]; h != nil && h.gone.IsZero() {
			h.gone = time.Now()
			c.d.rec.line("cloud: %s is returned", name)
			if h.worker != nil {
				h.worker.terminate()
			}
		}
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	seen := time.Now().Add(-time.Duration(c.d.s.listLagS * float64(time.Second)))
	c.mu.Lock()
	var names []string
	for name, h := range c.hosts {
		if name > since && h.rented.Before(seen) && (h.gone.IsZero() || h.gone.After(seen)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	if more {
		names = names[:limit]
	}
	rows := []map[string]any{}
	for _, name := range names {
		h := c.hosts[name]
		status, addr := "booting", ""
		if h.worker != nil {
			status, addr = "running", h.worker.addr
		}
		rows = append(rows, map[string]any{
			"uid": name, "addr": addr, "rig": h.typ.Label, "site": h.site, "loaners": h.spot,
			"status": status, "age_s": seen.Sub(h.rented).Seconds(),
		})
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"hosts": rows, "more": more})
}
