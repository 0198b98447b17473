package fleet

import (
	"testing"

	"drumpick/internal/goldentest"

	"github.com/mailru/easyjson"
)

// The worker protocol keeps its forms: reports, answers to them and direct commands.
func TestGolden(t *testing.T) {
	fast := goldentest.Codec{
		Tag:    "json",
		Encode: func(v any) ([]byte, error) { return easyjson.Marshal(v.(easyjson.Marshaler)) },
		Decode: func(raw []byte, v any) error { return easyjson.Unmarshal(raw, v.(easyjson.Unmarshaler)) },
	}
	warning, windDown := 12.5, 4.0
	orders := []Order{{Verb: VerbKill, Shot: "j-412/3", Try: 2, WindDownS: &windDown}}
	reports := []goldentest.Case{
		{Name: "report", Value: Report{
			Host: "m-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Tick: 88, Baton: 41,
			WarningS: &warning, Version: "1.0",
			Tasks: []TaskReport{{Shot: "j-412/3", Try: 2, Status: Ended.String(), Cause: CauseDone, Saved: true}},
		}},
		{Name: "task in a report", Value: TaskReport{Shot: "j-412/3", Try: 2, Status: Ended.String(), Cause: CauseDone, Saved: true}},
		{Name: "answer", Value: Response{Baton: 41, Orders: orders}},
		{Name: "answer without orders", Unset: true, Value: Response{Baton: 41, Orders: []Order{}}},
		{Name: "order", Value: orders[0]},
	}
	// Both write and read the same: controllers use the one, and the workers of the local
	// region the other, also for GET /status.
	t.Run("easyjson", func(t *testing.T) { goldentest.Run(t, "golden-reports.json", fast, reports) })
	t.Run("standard library", func(t *testing.T) { goldentest.Run(t, "golden-reports.json", goldentest.JSON, reports) })
	goldentest.Run(t, "golden-orders.json", goldentest.JSON, []goldentest.Case{
		{Name: "direct command", Value: Direct{Baton: 41, Session: 1, Orders: orders}},
		{Name: "verbs", Direction: goldentest.Written, Value: []string{VerbRun, VerbKill, VerbReap}},
		{Name: "causes", Direction: goldentest.Written, Value: []string{
			CauseDone, CauseStopped, CauseMatesGone, CauseAlone, CauseError, CauseFull, CauseBusy, CauseNoSuch,
		}},
		{Name: "states of attempts", Direction: goldentest.Written, Value: []string{
			Planned.String(), Sent.String(), Pulling.String(), Waiting.String(), Running.String(), Flushing.String(), Ended.String(),
		}},
	})
}
