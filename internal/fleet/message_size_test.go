package fleet

import (
	"flag"
	"math"
	"testing"

	"github.com/mailru/easyjson"
	"pgregory.net/rapid"
)

// The sizes that bound the messages to and from a worker are never below the encoded sizes, whatever the
// task, the number and the duration. A worker could not read a larger message, or not send it.
func TestSizesAreUpperBounds(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		task := TaskID{Job: rapid.OneOf(rapid.StringN(1, 60, 100), rapid.StringMatching("j-[0-9]{1,100}")).Draw(t, "job"), N: rapid.IntRange(0, 100_000).Draw(t, "n")}
		number := rapid.Uint64().Draw(t, "number")
		grace := rapid.Float64Range(-math.MaxFloat64, math.MaxFloat64).Draw(t, "grace")
		size := func(message easyjson.Marshaler) int {
			raw, err := easyjson.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			return len(raw) + len(",")
		}
		for _, command := range []Command{
			{Verb: VerbRun, Task: task.String(), Attempt: number},
			{Verb: VerbReap, Task: task.String(), Attempt: number},
			{Verb: VerbKill, Task: task.String(), Attempt: number, GraceS: &grace},
		} {
			if bound := commandSize(command); bound < size(command) {
				t.Fatalf("%+v: bound %d is below the encoded size %d", command, bound, size(command))
			}
		}
		for state := Pulling; state <= Ended; state++ {
			for _, cause := range []string{"", CauseDone, CauseStopped, CauseGangPeerLost, CauseError, CauseFull, CauseOtherAttempt, CauseUnknownTask} {
				if state != Ended && cause != "" {
					continue
				}
				status := TaskStatus{Task: task.String(), Attempt: number, Status: state.String(), Cause: cause}
				if bound := taskStatusBytes(task, number, CauseGangPeerLost); int(bound) < size(status) {
					t.Fatalf("%+v: bound %g is below the encoded size %d", status, bound, size(status))
				}
			}
		}
	})
}
