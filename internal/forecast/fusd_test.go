package forecast

import (
	"fmt"
	"strconv"
	"testing"

	"drumpick/internal/scenario"
)

// "params UP DOWN WINDOW PERCENTILE", then "use X" for each observation.
func TestTraces(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		var f *FUSD
		return func(w []string) []string {
			v := make([]float64, len(w))
			for i, x := range w[1:] {
				var err error
				if v[i+1], err = strconv.ParseFloat(x, 64); err != nil {
					t.Fatal(err)
				}
			}
			switch w[0] {
			case "params":
				f = New(Params{Up: v[1], Down: v[2], Window: int(v[3]), Percentile: v[4]})
				return nil
			case "use":
				return []string{fmt.Sprintf("expect %.4f", f.Observe(v[1]))}
			case "reserved":
				return []string{fmt.Sprintf("predicted %.4f", f.Predicted(v[1]))}
			}
			t.Fatalf("unknown event %v", w)
			return nil
		}
	})
}
