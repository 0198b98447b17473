package config

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"drumpick/internal/scenario"
)

// An event of the scenario gives settings, in seconds: "report" (heartbeat interval), "lease", "cancel"
// and "aim" (start bound of a guarantee). The decisions are the derived timing and the warnings.
func TestTiming(t *testing.T) {
	scenario.Run(t, "timing.trace", func(t *testing.T) func([]string) []string {
		return func(w []string) []string {
			a := map[string]float64{}
			for _, x := range w[1:] {
				k, v, _ := strings.Cut(x, "=")
				a[k], _ = strconv.ParseFloat(v, 64)
			}
			c := &Config{Options: DefaultOptions()}
			c.Deployment.Workers = Workers{HeartbeatS: a["report"], LeaseS: a["lease"], CancelS: a["cancel"]}
			if a["aim"] > 0 {
				c.Deployment.Objectives = []Objective{{Kind: KindGuarantee, WithinS: a["aim"]}}
			}
			d := c.Timing()
			line := fmt.Sprintf("grant %v; calls: store %v, peer %v, cloud %v, worker %v; without the store %v",
				d.LeaderLease, d.StoreTimeout, d.PeerTimeout, d.CloudTimeout, d.WorkerTimeout, d.RenewalWithoutStore)
			return append([]string{line}, c.Warnings()...)
		}
	})
}
