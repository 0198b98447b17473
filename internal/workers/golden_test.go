package workers

import (
	"reflect"
	"testing"
	"time"

	"drumpick/internal/fleet"
	"drumpick/internal/goldentest"
)

// Commands to a worker and the heartbeat in the worker's response keep their wire format. A renamed
// field would break the commands to workers.
func TestGoldenCommands(t *testing.T) {
	worker := goldentest.NewFakeServer(t)
	c := NewCaller(1, 10*time.Second)
	noticeS, graceS := 12.5, 4.0
	request := fleet.CommandRequest{FencingToken: 41, Incarnation: 1, Commands: []fleet.Command{
		{Verb: fleet.VerbKill, Task: "j-1/0", Attempt: 2, GraceS: &graceS},
		{Verb: fleet.VerbReap, Task: "j-1/1", Attempt: 3},
	}}
	const text = `{"host":"m-1","addr":"10.1.0.232:9000","rig":"g8","site":"a","loaners":true,"stint":1,"tick":9,"baton":41,` +
		`"warning_s":12.5,"drumpick_version":"1.0","version":"0.9","shots":[{"shot":"j-1/0","try":2,"status":"ended","cause":"stopped","saved":true}]}`
	want := fleet.Heartbeat{
		Machine: "m-1", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true,
		Incarnation: 1, Sequence: 9, FencingToken: 41, PreemptionNoticeS: &noticeS, Version: "1.0", EarlierVersion: "0.9",
		Tasks: []fleet.TaskStatus{{Task: "j-1/0", Attempt: 2, Status: "ended", Cause: fleet.CauseStopped, CheckpointSaved: true}},
	}
	f := goldentest.Open(t, "golden-orders.json")
	for name, test := range map[string]struct {
		status int
		want   Outcome
	}{
		"carried out":     {200, OutcomeExecuted},
		"not carried out": {409, OutcomeRejected},
	} {
		t.Run(name, func(t *testing.T) {
			worker.QueueResponse(test.status, text)
			outcome, got, err := c.SendCommands(worker.Addr, request)
			if err != nil || outcome != test.want || !reflect.DeepEqual(*got, want) {
				t.Errorf("got %d, %+v, %v, want %d, %+v", outcome, got, err, test.want, want)
			}
			f.CheckExchanges(t, name, worker.TakeExchanges(), 1)
		})
	}
}
