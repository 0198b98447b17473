package fleet

import (
	"encoding/json"
	"testing"

	"drumpick/internal/goldentest"
	"drumpick/internal/jsoncodec"
)

// The encodings of the worker protocol do not change: heartbeats, their responses and direct
// commands.
func TestGolden(t *testing.T) {
	standard := goldentest.Codec{Tag: "json", Encode: json.Marshal, Decode: jsoncodec.Unmarshal}
	noticeS, graceS := 12.5, 4.0
	commands := []Command{{Verb: VerbKill, Task: "j-412/3", Attempt: 2, GraceS: &graceS}}
	heartbeats := []goldentest.Case{
		{Name: "report", Value: Heartbeat{
			Machine: "m-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Incarnation: 1, Sequence: 88, FencingToken: 41,
			PreemptionNoticeS: &noticeS, Version: "1.1", EarlierVersion: "1.0",
			Tasks: []TaskStatus{{Task: "j-412/3", Attempt: 2, Status: Ended.String(), Cause: CauseDone, CheckpointSaved: true}},
		}},
		{Name: "task in a report", Value: TaskStatus{Task: "j-412/3", Attempt: 2, Status: Ended.String(), Cause: CauseDone, CheckpointSaved: true}},
		{Name: "answer", Value: HeartbeatResponse{FencingToken: 41, Commands: commands}},
		{Name: "answer without orders", AllowUnset: true, Value: HeartbeatResponse{FencingToken: 41, Commands: []Command{}}},
		{Name: "order", Value: commands[0]},
	}
	// The generated encoders and the standard library, which fiber uses for GET /status of the workers
	// of the local cluster, encode alike.
	t.Run("easyjson", func(t *testing.T) { goldentest.Run(t, "golden-reports.json", goldentest.JSON, heartbeats) })
	t.Run("standard library", func(t *testing.T) { goldentest.Run(t, "golden-reports.json", standard, heartbeats) })
	goldentest.Run(t, "golden-orders.json", goldentest.JSON, []goldentest.Case{
		{Name: "direct command", Value: CommandRequest{FencingToken: 41, Incarnation: 1, Commands: commands}},
		{Name: "verbs", Direction: goldentest.WriteOnly, Value: []string{VerbRun, VerbKill, VerbReap}},
		{Name: "causes", Direction: goldentest.WriteOnly, Value: []string{
			CauseDone, CauseStopped, CauseGangPeerLost, CauseGangTimeout, CauseError, CauseFull, CauseOtherAttempt, CauseUnknownTask,
		}},
		{Name: "states of attempts", Direction: goldentest.WriteOnly, Value: []string{
			Planned.String(), Sent.String(), Pulling.String(), Waiting.String(), Running.String(), Checkpointing.String(), Ended.String(),
		}},
	})
}
