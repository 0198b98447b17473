package autoscaler

import (
	"testing"

	"drumpick/internal/goldentest"
)

// Requests to the cloud and its machine list keep their JSON encoding.
func TestGolden(t *testing.T) {
	goldentest.Run(t, "golden-rentals.json", goldentest.JSON, []goldentest.Case{
		{Name: "request", Direction: goldentest.WriteOnly, Value: RentalRequest{Name: "b-1", Type: "g8", Zone: "a", Spot: true, Count: 3}},
		{Name: "listed machine", Direction: goldentest.ReadOnly, Value: CloudMachine{
			Machine: "m-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Status: "up", AgeS: 60.5,
		}},
	})
}
