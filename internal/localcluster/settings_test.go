package localcluster

import "testing"

// A controller of a local cluster takes a connection from each worker of a large fleet.
func TestControllerHasConnectionsForLargeFleet(t *testing.T) {
	const fleet = 4000
	if n := defaultDeployment([]string{"a"}, 3).Resources.FDLimit * 3 / 4; n < fleet {
		t.Errorf("a controller takes %d connections of workers and users, %d workers come", n, fleet)
	}
}
