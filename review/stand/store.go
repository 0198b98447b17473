package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the state service. It keeps its keys in memory.
type store struct {
	mu      sync.Mutex
	keys    map[string]item
	epoch   uint64
	log     []event
	changed chan struct{} // closed and replaced at each change
	leases  map[uint64]*lease
	nextID  uint64

	valueKB  float64
	txnOps   int
	requests *bucket
	writes   *bucket
}

type item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Hold  uint64          `json:"hold,omitempty"`
}

type event struct {
	Write  string          `json:"write,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type lease struct {
	life time.Duration
	ends time.Time
}

// bucket is a rate limit that allows bursts of one second's worth.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, tokens: rate, last: time.Now()} }

func (b *bucket) take(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(s settings) *store {
	st := &store{
		keys: map[string]item{}, epoch: 1, changed: make(chan struct{}), leases: map[uint64]*lease{},
		valueKB: s.valueKB, txnOps: s.txnOps, requests: newBucket(s.stateRPS), writes: newBucket(s.writeRPS),
	}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			st.expireLeases()
		}
	}()
	return st
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends.Add(20 * time.Millisecond)) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller must hold mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, it := range s.keys {
		if it.Hold == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.epoch++
	for _, k := range gone {
		delete(s.keys, k)
		s.log = append(s.log, event{Delete: k, Stamp: s.epoch})
	}
	s.wake()
}

// wake wakes the watches. The caller must hold mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func refuse(w http.ResponseWriter, status int, text string) {
	answer(w, status, map[string]string{"error": text})
}

// ServeHTTP serves the protocol of the state service.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.requests.take(1) {
		refuse(w, http.StatusTooManyRequests, "too many requests")
		return
	}
	time.Sleep(2 * time.Millisecond)
	path := r.URL.Path
	switch {
	case path == "/store":
		s.list(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.get(w, strings.TrimPrefix(path, "/store/"))
	case path == "/commit":
		s.commit(w, r)
	case path == "/watch":
		s.watch(w, r)
	case path == "/grants":
		s.grant(w, r)
	case strings.HasPrefix(path, "/grants/"):
		s.lease(w, r, strings.TrimPrefix(path, "/grants/"))
	default:
		refuse(w, http.StatusBadRequest, "malformed")
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.keys[key]
	epoch := s.epoch
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"epoch": epoch})
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, since := query.Get("under"), query.Get("since")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	epoch := s.epoch
	var rows []item
	for k, it := range s.keys {
		if strings.HasPrefix(k, prefix) && k > since {
			rows = append(rows, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more, size := false, 0
	for i := range rows {
		size += len(rows[i].Value) + len(rows[i].Key) + 40
		if i == limit || size > 512<<10 {
			rows, more = rows[:i], true
			break
		}
	}
	if rows == nil {
		rows = []item{}
	}
	answer(w, http.StatusOK, map[string]any{"rows": rows, "more": more, "epoch": epoch})
}

type commitBody struct {
	When []struct {
		Key   string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Writes []struct {
		Write  string          `json:"write"`
		Value  json.RawMessage `json:"value"`
		Hold   uint64          `json:"hold"`
		Delete string          `json:"delete"`
	} `json:"writes"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(r)
	var body commitBody
	if err != nil || json.Unmarshal(raw, &body) != nil || len(body.Writes) > s.txnOps || len(body.When) > 4*s.txnOps {
		refuse(w, http.StatusBadRequest, "malformed or too large")
		return
	}
	for _, op := range body.Writes {
		if float64(len(op.Value)) > s.valueKB*1024 {
			refuse(w, http.StatusBadRequest, "value too large")
			return
		}
	}
	if !s.writes.take(float64(len(body.Writes))) {
		refuse(w, http.StatusTooManyRequests, "too many changes")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range body.Writes {
		if op.Write != "" && op.Hold != 0 && s.leases[op.Hold] == nil {
			refuse(w, http.StatusBadRequest, "no such lease")
			return
		}
	}
	var failed []string
	for _, c := range body.When {
		if s.keys[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		answer(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(body.Writes) > 0 {
		s.epoch++
		for _, op := range body.Writes {
			if op.Delete != "" {
				delete(s.keys, op.Delete)
				s.log = append(s.log, event{Delete: op.Delete, Stamp: s.epoch})
				continue
			}
			s.keys[op.Write] = item{Key: op.Write, Value: op.Value, Stamp: s.epoch, Hold: op.Hold}
			s.log = append(s.log, event{Write: op.Write, Value: op.Value, Stamp: s.epoch})
		}
		s.wake()
	}
	answer(w, http.StatusOK, map[string]uint64{"epoch": s.epoch})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("under")
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Stamp > since; i-- {
			if e := s.log[i]; strings.HasPrefix(e.Write+e.Delete, prefix) {
				events = append([]event{e}, events...)
			}
		}
		epoch, changed := s.epoch, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"epoch": epoch, "log": events})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"epoch": epoch, "log": events})
			return
		}
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LifeMS int64 `json:"life_ms"`
	}
	raw, err := readBody(r)
	if err != nil || json.Unmarshal(raw, &body) != nil || body.LifeMS < 100 || body.LifeMS > 600_000 {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	s.mu.Lock()
	s.nextID++
	id, life := s.nextID, time.Duration(body.LifeMS)*time.Millisecond
	s.leases[id] = &lease{life: life, ends: time.Now().Add(life)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]uint64{"hold": id})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, rest string) {
	name, verb, _ := strings.Cut(rest, "/")
	id, err := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case err != nil:
		refuse(w, http.StatusBadRequest, "malformed")
	case l == nil:
		refuse(w, http.StatusNotFound, "no such lease")
	case r.Method == http.MethodDelete:
		s.endLease(id)
		answer(w, http.StatusOK, map[string]uint64{"hold": id})
	case verb == "extend":
		l.ends = time.Now().Add(l.life)
		answer(w, http.StatusOK, map[string]uint64{"hold": id})
	default:
		refuse(w, http.StatusBadRequest, "malformed")
	}
}
