package drain

import (
	"errors"
	"fmt"
	"time"
	_ "time/tzdata" // controllers have no time zone files on disk

	"github.com/teambition/rrule-go"
)

// Window is a recurring maintenance window. It is stored in this form.
type Window struct {
	Rule       string  `json:"rule"`             // RFC 5545 RRULE, optionally with DTSTART in local time
	TimeZone   string  `json:"zone"`             // IANA time zone of the rule
	DurationS  float64 `json:"for_s"`            // length of each window
	LeadS      float64 `json:"lead_s,omitempty"` // draining begins this long before each window; machines are empty at its start
	FirstStart string  `json:"starts,omitempty"` // DTSTART as 2006-01-02T15:04 in TimeZone
}

// Bounds of a window.
const (
	minWindowS        = 60
	maxWindowS        = 7 * 86400.0
	maxLookaheadYears = 2 // a window must start within this time
	maxLookahead      = maxLookaheadYears * 366 * 24 * time.Hour
)

// Bounds of a rule. Package rrule computes the next start by going through the rule's periods from its
// first start, and keeps all starts of a period in memory. For rules with shorter periods than a day it
// may never find a start and not return.
const (
	maxRuleInterval = 1000 // periods from one to the next
	maxStartsPerDay = 24
	minStartYear    = 2000 // of the first start
)

// checkRule returns an error if the next start of a rule cannot be computed in bounded time and memory.
func checkRule(option *rrule.ROption) error {
	perDay := max(len(option.Byhour), 1) * max(len(option.Byminute), 1) * max(len(option.Bysecond), 1)
	switch {
	case option.Freq > rrule.DAILY:
		return errors.New("window.rule: more often than daily; a daily rule may name several hours")
	case option.Interval > maxRuleInterval:
		return fmt.Errorf("window.rule: an interval of more than %d", maxRuleInterval)
	case perDay > maxStartsPerDay:
		return fmt.Errorf("window.rule: more than %d starts a day", maxStartsPerDay)
	case option.Dtstart.Year() < minStartYear:
		return fmt.Errorf("window.rule, window.starts: begins before the year %d", minStartYear)
	}
	return nil
}

// localTimeLayout is the layout of Window.FirstStart.
const localTimeLayout = "2006-01-02T15:04"

// parseRule parses a window's rule in its time zone.
func (w *Window) parseRule() (*rrule.RRule, error) {
	location, err := time.LoadLocation(w.TimeZone)
	if err != nil || w.TimeZone == "" || w.TimeZone == "Local" {
		return nil, fmt.Errorf("window.zone: %q is no time zone, such as Europe/Warsaw", w.TimeZone)
	}
	option, err := rrule.StrToROptionInLocation(w.Rule, location)
	if err != nil {
		return nil, fmt.Errorf("window.rule: %w", err)
	}
	if w.FirstStart != "" {
		start, err := time.ParseInLocation(localTimeLayout, w.FirstStart, location)
		if err != nil {
			return nil, fmt.Errorf("window.starts: %q is not of the form %s", w.FirstStart, localTimeLayout)
		}
		option.Dtstart = start
	}
	if option.Dtstart.IsZero() {
		// An arbitrary fixed start, midnight of a Monday, so that results do not depend on the date.
		option.Dtstart = time.Date(2024, 1, 1, 0, 0, 0, 0, location)
	}
	option.Dtstart = option.Dtstart.In(location)
	rule, err := rrule.NewRRule(*option)
	if err != nil {
		return nil, fmt.Errorf("window.rule: %w", err)
	}
	return rule, nil
}

// Check returns an error that names the first invalid field. It rejects a rule outside of the bounds of
// checkRule, which records of earlier versions may hold, and a rule whose next two windows, with lead
// time, overlap, because the drain would never release its machines. Later windows are not compared.
func (w *Window) Check(now time.Time) error {
	rule, err := w.parseRule()
	if err != nil {
		return err
	}
	if err := checkRule(&rule.OrigOptions); err != nil {
		return err
	}
	switch {
	case !(w.DurationS >= minWindowS && w.DurationS <= maxWindowS):
		return errors.New("window.for_s: not within a minute to a week")
	case !(w.LeadS >= 0 && w.LeadS <= maxWindowS):
		return errors.New("window.lead_s: not within 0 to a week")
	}
	first, ok := w.startAfter(rule, now.Add(-w.length()))
	if !ok {
		return fmt.Errorf("window.rule: no window comes within %d years", maxLookaheadYears)
	}
	if second, ok := w.startAfter(rule, first); ok && second.Sub(first) <= w.length()+w.lead() {
		return errors.New("window.for_s: the next window would begin before one ends")
	}
	return nil
}

func (w *Window) length() time.Duration { return time.Duration(w.DurationS * float64(time.Second)) }
func (w *Window) lead() time.Duration   { return time.Duration(w.LeadS * float64(time.Second)) }

// startAfter returns the first start of the window after a time, and false if there is none within
// maxLookahead.
func (w *Window) startAfter(rule *rrule.RRule, t time.Time) (time.Time, bool) {
	next := rule.After(t, false)
	for !next.IsZero() && !firstOccurrence(next).After(t) {
		next = rule.After(next, false)
	}
	return firstOccurrence(next), !next.IsZero() && next.Sub(t) < maxLookahead
}

// firstOccurrence returns the earlier of two instants with the same local time, which exist when clocks
// are set back. Package time may choose either; RFC 5545, section 3.3.5, requires the first.
func firstOccurrence(t time.Time) time.Time {
	for _, shift := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
		if earlier := t.Add(-shift); earlier.Format(time.DateTime) == t.Format(time.DateTime) {
			return earlier
		}
	}
	return t
}

// inForce reports whether the window, or its lead time, is in progress. emptyBy is the time by
// which machines must be empty, zero without a lead time; next is when the first result changes,
// zero: never.
func (w *Window) inForce(at time.Time) (inForce bool, emptyBy, next time.Time) {
	rule, err := w.parseRule()
	if err != nil {
		return false, emptyBy, next // unreachable: Check accepted the rule before it was stored
	}
	start, ok := w.startAfter(rule, at.Add(-w.length()))
	if !ok {
		return false, emptyBy, next
	}
	begins, ends := start.Add(-w.lead()), start.Add(w.length())
	if at.Before(begins) {
		return false, emptyBy, begins
	}
	if w.LeadS > 0 {
		emptyBy = start
	}
	return true, emptyBy, ends
}

// NextStarts returns up to n starts of the window after a time, in its time zone, to show to
// operators.
func (w *Window) NextStarts(at time.Time, n int) []time.Time {
	rule, err := w.parseRule()
	if err != nil {
		return nil
	}
	var starts []time.Time
	for range n {
		start, ok := w.startAfter(rule, at)
		if !ok {
			break
		}
		starts = append(starts, start)
		at = start
	}
	return starts
}
