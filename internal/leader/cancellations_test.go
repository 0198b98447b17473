package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"drumpick/internal/config"
)

// A new leader acknowledges a cancellation only after the time that the last answers of the leader before
// take to their workers: they may start tasks of the job, of which the new leader knows nothing.
func TestNewLeaderAwaitsAnswersOfLastLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newIdleLeader()
		time.Sleep(40 * time.Millisecond) // the state of earlier terms is loaded
		if !l.NotifyCancelled(t.Context(), "j-1") {
			t.Fatal("the cancellation is not acknowledged")
		}
		if want := config.AnswerDelivery(l.settings.HeartbeatInterval); time.Since(l.startedAt) < want {
			t.Errorf("acknowledged %v after the election, want at least %v", time.Since(l.startedAt), want)
		}
	})
}
