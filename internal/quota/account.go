// Package usage accounts for the resources that teams use. The account follows the events
// that change it: every attempt has one charge, and a change of the attempt replaces that
// charge by another. A quota is then read from the account in time that depends on how many
// sizes of task a team has, not on how many attempts or machines there are.
//
// The package is pure: no I/O, no clock.
package quota

// Amount is what quotas are stated in: CPUs and GPUs, in units of one. Memory has no quota.
type Amount struct{ CPUs, GPUs float64 }

// Add returns a + b.
func (a Amount) Add(b Amount) Amount { return a.plus(1, b) }

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount { return a.plus(-1, b) }

// plus returns the amount with n times another one.
func (a Amount) plus(n int, size Amount) Amount {
	return Amount{a.CPUs + float64(n)*size.CPUs, a.GPUs + float64(n)*size.GPUs}
}

// Phase is how far the attempt that a charge is for has come.
type Phase uint8

// Phases. A charge of phase None counts for nothing.
const (
	None     Phase = iota
	Planned        // chosen for a machine, and nothing was sent
	Present        // may be on its machine
	Stopping       // may be on its machine, and was told to stop
	phases   = iota
)

// Charge is what one attempt counts for. The zero Charge counts for nothing.
type Charge struct {
	Phase  Phase
	Shared bool   // the owner is not known, so that it counts for every team
	Team   string // the owner, unless it is shared
	Size   Amount
}

// Account holds the sums of all charges. Its counts are integers by size: sums of decimal
// amounts would drift as charges come and go, and never be zero again.
type Account struct {
	teams  map[string]*counts
	shared counts
}

// counts are charges by phase.
type counts [phases]bySize

// bySize counts charges by size, and knows their sum unless they changed since it was last asked.
type bySize struct {
	counts  map[Amount]int
	sum     Amount
	changed bool
}

func (b *bySize) add(size Amount, n int) {
	if b.counts == nil {
		b.counts = map[Amount]int{}
	}
	if b.counts[size] += n; b.counts[size] == 0 {
		delete(b.counts, size)
	}
	b.changed = true
}

func (b *bySize) total() Amount {
	if b.changed {
		b.sum, b.changed = Amount{}, false
		for size, n := range b.counts {
			b.sum = b.sum.plus(n, size)
		}
	}
	return b.sum
}

// NewAccount returns an account without charges.
func NewAccount() *Account { return &Account{teams: map[string]*counts{}} }

// Replace takes one charge out of the account and puts another one in.
func (a *Account) Replace(old, next Charge) {
	if old == next {
		return
	}
	a.add(old, -1)
	a.add(next, 1)
}

func (a *Account) add(c Charge, n int) {
	if c.Phase == None {
		return
	}
	of := &a.shared
	if !c.Shared {
		if of = a.teams[c.Team]; of == nil {
			of = &counts{}
			a.teams[c.Team] = of
		}
	}
	of[c.Phase].add(c.Size, n)
}

// sum adds the charges of some phases to an amount.
func (c *counts) sum(to Amount, of ...Phase) Amount {
	if c == nil {
		return to
	}
	for _, phase := range of {
		to = to.Add(c[phase].total())
	}
	return to
}

// InUse is what may be on machines of a team's attempts, with all that is shared.
func (a *Account) InUse(team string) Amount {
	return a.teams[team].sum(a.shared.sum(Amount{}, Present, Stopping), Present, Stopping)
}

// Committed is what is in use and what is planned.
func (a *Account) Committed(team string) Amount {
	return a.teams[team].sum(a.shared.sum(Amount{}, Planned, Present, Stopping), Planned, Present, Stopping)
}

// NotStopping is what is in use of a team's own attempts that were not told to stop.
func (a *Account) NotStopping(team string) Amount {
	return a.teams[team].sum(Amount{}, Present)
}

// Empty says whether nothing is charged to anybody.
func (a *Account) Empty() bool {
	for _, team := range a.teams {
		if !team.empty() {
			return false
		}
	}
	return a.shared.empty()
}

func (c *counts) empty() bool {
	for i := range c {
		if len(c[i].counts) > 0 {
			return false
		}
	}
	return true
}
