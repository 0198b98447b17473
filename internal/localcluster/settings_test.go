package localcluster

import "testing"

// The file descriptor limit of a local cluster's controller allows one connection from each worker of a large fleet.
func TestControllerHasConnectionsForLargeFleet(t *testing.T) {
	const fleet = 4000
	if n := defaultDeployment([]string{"a"}, 3).Resources.FDLimit * 3 / 4; n < fleet {
		t.Errorf("a controller accepts %d connections of workers and users, want at least %d", n, fleet)
	}
}

// Clusters of one process never assign the same address to two controllers, even after the address is released. A
// controller could otherwise receive another cluster's requests.
func TestControllersOfAllClustersHaveDistinctAddresses(t *testing.T) {
	const clusters, controllers = 200, 3
	assigned := map[string]bool{}
	for range clusters {
		c := &Cluster{options: Options{Zones: []string{"a"}, Controllers: controllers}}
		release, err := c.chooseAddrs()
		release()
		if err != nil {
			t.Fatal(err)
		}
		for _, controller := range c.Info.Controllers {
			for _, addr := range []string{controller.UserAddr, controller.PeerAddr} {
				if assigned[addr] {
					t.Errorf("%s was assigned twice", addr)
				}
				assigned[addr] = true
			}
		}
	}
	if want := 2 * clusters * controllers; len(assigned) != want {
		t.Errorf("%d addresses were assigned, want %d", len(assigned), want)
	}
}
