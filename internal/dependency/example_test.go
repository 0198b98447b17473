package dependency_test

import (
	"fmt"
	"time"

	"drumpick/internal/dependency"
)

// A job is blocked until its dependency is done, and the dependency inherits the job's rank.
func ExampleGraph() {
	graph := dependency.New()
	graph.Add(dependency.Job{ID: "j-1", Rank: 3})
	graph.Add(dependency.Job{ID: "j-2", Rank: 0, Dependencies: []string{"j-1"}})
	fmt.Println(graph.Blocked("j-2"), graph.Precedence("j-1").Rank)

	graph.SetFinal("j-1", dependency.Done, time.Unix(1000, 0), 17)
	fmt.Println(graph.Blocked("j-2"), graph.EarliestStartRevision("j-2"))
	// Output:
	// true 0
	// false 17
}
