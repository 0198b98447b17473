package quota_test

import (
	"fmt"

	"drumpick/internal/quota"
)

// An attempt is first charged as planned. Its charge is replaced when it starts, and removed when it
// ends.
func ExampleAccount() {
	account := quota.NewAccount()
	size := quota.Amount{CPUs: 4, GPUs: 1}

	planned := quota.Charge{Phase: quota.Planned, Team: "vision", Size: size}
	account.Replace(quota.Charge{}, planned)
	fmt.Println(account.InUse("vision"), account.Committed("vision"))

	present := quota.Charge{Phase: quota.Present, Team: "vision", Size: size}
	account.Replace(planned, present)
	fmt.Println(account.InUse("vision"), account.Committed("vision"))

	account.Replace(present, quota.Charge{})
	fmt.Println(account.Empty())
	// Output:
	// {0 0} {4 1}
	// {4 1} {4 1}
	// true
}
