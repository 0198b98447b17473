package localcluster

import "testing"

// A controller of a local cluster takes a connection from each worker of a large fleet.
func TestControllerHasConnectionsForLargeFleet(t *testing.T) {
	const fleet = 4000
	if n := defaultDeployment([]string{"a"}, 3).Resources.FDLimit * 3 / 4; n < fleet {
		t.Errorf("a controller takes %d connections of workers and users, %d workers come", n, fleet)
	}
}

// Clusters of one process never give their controllers the same address, also while it is free.
func TestControllersOfAllClustersHaveTheirOwnAddresses(t *testing.T) {
	const clusters, controllers = 200, 3
	given := map[string]bool{}
	for range clusters {
		c := &Cluster{options: Options{Zones: []string{"a"}, Controllers: controllers}}
		release, err := c.chooseAddrs()
		release()
		if err != nil {
			t.Fatal(err)
		}
		for _, controller := range c.Info.Controllers {
			for _, addr := range []string{controller.UserAddr, controller.PeerAddr} {
				if given[addr] {
					t.Errorf("%s was given twice", addr)
				}
				given[addr] = true
			}
		}
	}
	if want := 2 * clusters * controllers; len(given) != want {
		t.Errorf("%d addresses were given, want %d", len(given), want)
	}
}
