package standin

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// racedParallel is how many stories run side by side under the race detector, and racedProcessors on how many
// processors. Its runtime gives up now and then (ThreadSanitizer: CHECK failed, or SIGSEGV) where many stories that set
// timers run at once; that is no verdict on any test. What it finds does not depend on how many there are.
const (
	racedParallel   = "2"
	racedProcessors = 1
)

func TestMain(m *testing.M) {
	flag.Parse()
	if raced {
		runtime.GOMAXPROCS(racedProcessors)
		if err := flag.Set("test.parallel", racedParallel); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
