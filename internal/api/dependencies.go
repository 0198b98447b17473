package api

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"drumpick/internal/config"
	"drumpick/internal/peer"
	"drumpick/internal/records"
)

// fate is what the jobs before a job mean for it.
type fate int

const (
	undecided fate = iota // the store did not say, or not all of it in time
	wrong                 // one was never accepted, or is none that jobs may wait for
	cancelled             // one is cancelled
	open                  // none is cancelled
)

// tooLong says why a job cannot be kept: its record is larger than a value of the
// state service may be, now or later.
func (s *Server) tooLong(j *records.Job) string {
	most := int(s.cfg.Deployment.State.Lowest().ValueKB * 1024)
	if most == 0 {
		return ""
	}
	switch n := records.EncodedSize(j); {
	case n <= most:
		return ""
	case len(j.Dependencies) > 0:
		return fmt.Sprintf("the job's description with %d prereqs takes %d bytes, of %d at the most", len(j.Dependencies), n, most)
	default:
		return fmt.Sprintf("the job's description takes %d bytes, of %d at the most", n, most)
	}
}

// before looks at the jobs that a submission names, and at those before them. A name
// that is not on record was never accepted: records are kept for good.
func (s *Server) before(ctx context.Context, j *records.Job) (fate, string) {
	w := s.walk()
	result := open
	for _, id := range j.Dependencies {
		o, known := s.overOf(id)
		var row *records.KeyValue
		read := time.Now()
		if !known {
			r, over, err := s.lookup(ctx, id)
			switch {
			case err != nil:
				slog.Debug("prerequisite not read", "job", j.ID, "prereq", id, "err", err)
				return undecided, ""
			case r == nil && over == nil:
				return wrong, "prereqs names a job that was never accepted: " + id
			case over != nil:
				o, known = *over, true
			default:
				row = r
			}
		}
		var p records.Job
		if row != nil {
			_ = json.Unmarshal(row.Value, &p)
		}
		if o.Service || p.Shape == records.ShapeService {
			return wrong, "prereqs names a service: " + id
		}
		switch {
		case o.Status == records.StatusCancelled:
			result = cancelled
		case !known && result == open:
			if f := w.through(ctx, id, p.Dependencies, read, s.progress); f != open {
				result = f
			}
		}
		if result == undecided {
			return undecided, ""
		}
	}
	return result, ""
}

func (s *Server) overOf(id string) (records.ClosedJob, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.over[id]
	return o, ok
}

// chained makes sure, before an open job is called open, that none before it, however
// far, is cancelled; if one is, it stores that the job is cancelled with it. Mostly the
// leader knows. Guards against a user who is told that a job waits while one before it
// was cancelled long ago: the leader that would cancel it may be gone, and none there.
func (s *Server) chained(ctx context.Context, id string, row *records.KeyValue, read time.Time, p peer.Progress) (answer, bool) {
	needs := needsOf(row)
	if len(needs) == 0 {
		return answer{}, false
	}
	switch s.walk().through(ctx, id, needs, read, func(x string) peer.Progress {
		if x == id {
			return p
		}
		return peer.Progress{}
	}) {
	case open:
		return answer{}, false
	case cancelled:
		if s.cancel(ctx, id, row, false) {
			if a, ok := s.remembered(ctx, id); ok {
				return a, true
			}
			if _, over, err := s.lookup(ctx, id); err == nil && over != nil {
				return s.overAnswer(ctx, id, *over), true
			}
		}
	}
	return errAway, true
}

// walker looks at the jobs before a job.
type walker struct {
	s    *Server
	lead time.Duration // for how long what was found holds
}

// walk starts a look. What was found holds for half of the time that a cancellation may
// take: where a job was cancelled since, its user was told since.
func (s *Server) walk() *walker {
	return &walker{s, config.Seconds(s.cfg.Deployment.Workers.CancelS) / 2}
}

// known gives the time up to which an open job and all before it are remembered as not
// cancelled, if that is recent enough.
func (w *walker) known(id string) (time.Time, bool) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	at := w.s.clear[id]
	return at, time.Since(at) < w.lead
}

func (w *walker) note(id string, at time.Time) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	if at.After(w.s.clear[id]) {
		forgetHalf(w.s.clear)
		w.s.clear[id] = at
	}
}

// step is an open job on the way.
type step struct {
	id    string
	needs []string  // what is still to be looked at
	at    time.Time // up to then neither it nor what was looked at before it was cancelled
	asked bool      // the leader has been asked
	read  bool      // its record has been read since
}

// through looks at all jobs before an open one, from there backwards; at is from before
// its record was read. What has been found is remembered, so that a long chain is looked
// at in several polls: which jobs another needs never changes, so the next poll begins
// with the first ones. The leader's word is taken where it is at hand.
func (w *walker) through(ctx context.Context, id string, needs []string, at time.Time, leader func(id string) peer.Progress) fate {
	path := []step{{id: id, needs: needs, at: at, read: true}}
	// found goes back to the job from which one was come to.
	found := func(at time.Time) {
		path = path[:len(path)-1]
		if n := len(path); n > 0 && at.Before(path[n-1].at) {
			path[n-1].at = at
		}
	}
	for len(path) > 0 {
		x := &path[len(path)-1]
		if at, ok := w.known(x.id); ok {
			found(at)
			continue
		}
		if w.doomed(x.id) {
			return w.doom(path)
		}
		if len(x.needs) == 0 {
			if !x.read {
				switch fate, _ := w.read(ctx, x.id); fate {
				case undecided:
					return undecided
				case cancelled:
					return w.doom(path)
				}
			}
			w.note(x.id, x.at)
			found(x.at)
			continue
		}
		if !x.asked {
			x.asked = true
			p := leader(x.id)
			if age := time.Duration(p.ClearAgeMS) * time.Millisecond; p.Known && p.DependenciesClear && age < w.lead {
				w.note(x.id, time.Now().Add(-age))
				continue
			}
		}
		next := step{id: x.needs[0], at: time.Now()}
		x.needs = x.needs[1:]
		if o, over := w.s.overOf(next.id); over {
			if o.Status == records.StatusCancelled {
				return w.doom(path)
			}
			continue
		}
		if next.needs = w.needs(next.id); len(next.needs) == 0 {
			fate, done := open, false
			if fate, done = w.read(ctx, next.id); done {
				continue
			}
			switch fate {
			case undecided:
				return undecided
			case cancelled:
				return w.doom(path)
			}
			next.needs, next.read = w.needs(next.id), true
		}
		path = append(path, next)
	}
	return open
}

// read reads how a job stands that others name, and remembers what it needs.
func (w *walker) read(ctx context.Context, id string) (f fate, done bool) {
	if !w.s.reads.Allow() {
		return undecided, false
	}
	row, final, err := w.s.lookup(ctx, id)
	switch {
	case err != nil || row == nil && final == nil:
		slog.Debug("job before another not read", "job", id, "err", err)
		return undecided, false
	case final != nil && final.Status == records.StatusCancelled:
		return cancelled, false
	case final != nil:
		return open, true
	}
	if needs := needsOf(row); len(needs) > 0 {
		w.s.mu.Lock()
		forgetHalf(w.s.needs)
		w.s.needs[id] = needs
		w.s.mu.Unlock()
	}
	return open, false
}

func (w *walker) needs(id string) []string {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	return w.s.needs[id]
}

func (w *walker) doomed(id string) bool {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	return w.s.doomed[id]
}

// doom remembers of all jobs on the way that one before them is cancelled.
func (w *walker) doom(path []step) fate {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	forgetHalf(w.s.doomed)
	for _, x := range path {
		w.s.doomed[x.id] = true
	}
	return cancelled
}

// needsOf reads the jobs that an open job's record names.
func needsOf(row *records.KeyValue) []string {
	var j struct {
		Prereqs []string `json:"prereqs"`
	}
	_ = json.Unmarshal(row.Value, &j)
	return j.Prereqs
}
