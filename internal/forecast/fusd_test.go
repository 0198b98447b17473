package forecast

import (
	"fmt"
	"strconv"
	"testing"

	"drumpick/internal/scenario"
)

// Commands of a scenario: "params UP DOWN WINDOW PERCENTILE" creates a forecast, "use X" records an
// observation, "reserved X" prints the prediction with a share X reserved.
func TestScenarios(t *testing.T) {
	scenario.Run(t, "*.trace", func(t *testing.T) func([]string) []string {
		var f *FUSD
		return func(words []string) []string {
			event, values := words[0], parseValues(t, words[1:])
			switch event {
			case "params":
				f = New(Params{Up: values[0], Down: values[1], Window: int(values[2]), Percentile: values[3]})
				return nil
			case "use":
				return []string{fmt.Sprintf("expect %.4f", f.Observe(values[0]))}
			case "reserved":
				return []string{fmt.Sprintf("predicted %.4f", f.Predicted(values[0]))}
			}
			t.Fatalf("unknown event %v", words)
			return nil
		}
	})
}

func parseValues(t *testing.T, words []string) []float64 {
	t.Helper()
	values := make([]float64, len(words))
	for i, word := range words {
		var err error
		if values[i], err = strconv.ParseFloat(word, 64); err != nil {
			t.Fatal(err)
		}
	}
	return values
}
