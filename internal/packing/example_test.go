package packing_test

import (
	"fmt"

	"drumpick/internal/packing"
)

// A large item is placed in an empty bin, and a group of tiny items is moved to that bin.
func ExampleSpace_Insert() {
	space := &packing.Space{}
	for _, id := range []string{"m-1", "m-2"} {
		space.Add(packing.NewBin(id, packing.Resources{CPU: 8, Mem: 32}))
	}
	space.Insert(&packing.Item{ID: "tiny", Request: packing.Resources{CPU: 2}, Movable: true}, nil)

	bin, moves, _ := space.Insert(&packing.Item{ID: "large", Request: packing.Resources{CPU: 5}}, nil)
	fmt.Println(bin.ID)
	for _, move := range moves {
		fmt.Println(move.Items[0].ID, "from", move.From.ID, "to", move.To.ID)
	}
	// Output:
	// m-2
	// tiny from m-1 to m-2
}
