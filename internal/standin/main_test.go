package standin

import (
	"flag"
	"os"
	"testing"
)

// racedParallel is how many stories run side by side under the race detector. Its runtime gives up
// (ThreadSanitizer: CHECK failed) now and then where many do that set timers; that is no verdict on any test.
const racedParallel = "2"

func TestMain(m *testing.M) {
	flag.Parse()
	if raced {
		if err := flag.Set("test.parallel", racedParallel); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
