package scheduler

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"drumpick/internal/config"
)

// Guards against a start latency that is logged more than once, before all tasks of a gang run, or
// with wrong parts. The parts count from the last attempt to start the job; the time of an earlier
// failed attempt counts as waiting for room.
func TestStartLatencyReportedOnce(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	defer slog.SetDefault(previous)
	r := newReplay(t)
	r.teams = []config.Team{{Name: "owner", GuaranteedCPUs: 8}}
	for _, line := range strings.Split(strings.TrimSpace(`
at 0 check-reconciled
at 0 job j-1 shape=group tasks=2 cpus=4 team=owner image_gb=1
at 1 heartbeat m-1 token=0
at 1 recorded m-1
at 6 heartbeat m-2 token=0
at 6 recorded m-2
at 7 heartbeat m-1
at 7.5 heartbeat m-2
at 8 heartbeat m-1 j-1/0:5.1=waiting
at 15.5 heartbeat m-2 j-1/1:5.1=running
at 16 heartbeat m-1 j-1/0:5.1=running
at 17 heartbeat m-2 j-1/1:5.1=running`), "\n") {
		r.runEvent(strings.Fields(line))
	}
	var reported []string
	for _, line := range strings.Split(log.String(), "\n") {
		if _, rest, ok := strings.Cut(line, `msg="job started" `); ok {
			reported = append(reported, rest)
		}
	}
	want := "job=j-1 class=\"\" team=owner tasks=2 entitled=true wait_s=16 longest=fetch heard_s=0 room_s=6 " +
		"report_s=1.5 fetch_s=8 mates_s=0.5 machine=m-2 type=c4 term=5"
	if len(reported) != 1 || reported[0] != want {
		t.Errorf("got %q\nwant %q", reported, want)
	}
}
