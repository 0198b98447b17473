package autoscaler

import (
	"slices"
	"testing"
	"time"

	"drumpick/internal/packing"
	"drumpick/internal/records"
)

type unconstrained struct{}

func (unconstrained) Permits(Offer) bool      { return true }
func (unconstrained) PermitsZone(string) bool { return true }

// newPlanInput returns the input of a plan for tasks that each fill a machine for ten hours.
func newPlanInput(now time.Time, tasks int) PlanInput {
	types := map[string]records.MachineType{"c4": {Name: "c4", CPUs: 4, MemGB: 16, Price: 0.2, StartupS: 20, Zones: []string{"a"}}}
	return PlanInput{
		Now:     now,
		Catalog: Catalog{Types: types, Names: []string{"c4"}},
		Demand: []Demand{{
			Job: "j-1", Tasks: tasks, Request: packing.Resources{CPU: 4, Mem: 1}, TaskSeconds: 36000, Elastic: true,
			WaitingSince: now, Constraints: unconstrained{},
		}},
		ScaleOutBlocked: func(string, string) bool { return false },
		OutageSuspected: func(string) bool { return false },
		Headroom:        func(_, n int) int { return n },
	}
}

func wantRequests(t *testing.T, got []RentalRequest, want ...RentalRequest) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("requests are %+v, want %+v", got, want)
	}
}

func TestPlanRentsForWaitingTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	wantRequests(t, NewPlanner(2).Plan(newPlanInput(now, 3)), RentalRequest{Type: "c4", Zone: "a", Count: 3})
}

func TestPlanCountsMachinesThatAreStarting(t *testing.T) {
	in := newPlanInput(time.Unix(1000, 0), 3)
	in.Fleet = []Machine{{Offer: Offer{Type: "c4", Zone: "a"}, InService: true, Vacant: true, Capacity: in.Catalog.Capacity("c4")}}
	wantRequests(t, NewPlanner(2).Plan(in), RentalRequest{Type: "c4", Zone: "a", Count: 2})
}

func TestOneRequestInFlightForAnOffer(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlanner(2)
	inFlight := RentalRequest{Name: "r-1-1", Type: "c4", Zone: "a", Count: 1}
	p.Track(inFlight)
	wantRequests(t, p.Plan(newPlanInput(now, 3)))
	p.Untrack(inFlight)
	wantRequests(t, p.Plan(newPlanInput(now, 3)), RentalRequest{Type: "c4", Zone: "a", Count: 3})
}

func TestRefusedOfferIsNotRequestedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlanner(2)
	p.BackOff(RentalRequest{Type: "c4", Zone: "a"}, 20*time.Second, now)
	wantRequests(t, p.Plan(newPlanInput(now.Add(39*time.Second), 3)))
	wantRequests(t, p.Plan(newPlanInput(now.Add(40*time.Second), 3)), RentalRequest{Type: "c4", Zone: "a", Count: 3})
}
