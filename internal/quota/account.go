// Package quota accounts for the resources that teams use. The account follows the events
// that change it: every attempt has one charge, and a change of the attempt replaces that
// charge by another. What a team uses is then read from the account in time that depends on how many
// sizes of task the team has, not on how many attempts or machines there are.
//
// The package is pure: no I/O, no clock.
package quota

// Amount is what quotas are stated in. Memory has no quota.
type Amount struct {
	CPUs float64
	GPUs float64
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount { return a.addScaled(1, b) }

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount { return a.addScaled(-1, b) }

// addScaled returns a + n·size.
func (a Amount) addScaled(n int, size Amount) Amount {
	return Amount{a.CPUs + float64(n)*size.CPUs, a.GPUs + float64(n)*size.GPUs}
}

// Phase is how far the attempt that a charge is for has come.
type Phase uint8

// Phases. A charge of phase None counts for nothing.
const (
	None     Phase = iota
	Planned        // chosen for a machine, and nothing was sent
	Present        // may be on its machine
	Stopping       // may be on its machine, and was requested to stop

	numPhases = iota // how many there are
)

// Charge is what one attempt counts for. The zero Charge counts for nothing.
type Charge struct {
	Phase  Phase
	Shared bool   // the owner is not known, so that it counts for every team
	Team   string // the owner, unless it is shared
	Size   Amount // of the attempt's task
}

// Account holds the sums of all charges. It is not for concurrent use.
type Account struct {
	teams  map[string]*phaseCounts
	shared phaseCounts
}

// phaseCounts counts charges by phase and size.
type phaseCounts [numPhases]sizeCounts

// sizeCounts counts charges by size, and keeps their sum until they change. The counts are
// integers: a running sum of decimal amounts would drift as charges come and go, and never be
// zero again.
type sizeCounts struct {
	counts   map[Amount]int
	sum      Amount // of all charges, unless they changed
	sumStale bool   // since the sum was made
}

func (s *sizeCounts) add(size Amount, n int) {
	if s.counts == nil {
		s.counts = map[Amount]int{}
	}
	s.counts[size] += n
	if s.counts[size] == 0 {
		delete(s.counts, size)
	}
	s.sumStale = true
}

func (s *sizeCounts) total() Amount {
	if s.sumStale {
		s.sum, s.sumStale = Amount{}, false
		for size, n := range s.counts {
			s.sum = s.sum.addScaled(n, size)
		}
	}
	return s.sum
}

// NewAccount returns an account without charges.
func NewAccount() *Account { return &Account{teams: map[string]*phaseCounts{}} }

// Replace takes one charge out of the account and puts another one in.
func (a *Account) Replace(old, next Charge) {
	if old == next {
		return
	}
	a.add(old, -1)
	a.add(next, 1)
}

// add counts a charge n times more.
func (a *Account) add(charge Charge, n int) {
	if charge.Phase == None {
		return
	}
	a.countsOf(charge)[charge.Phase].add(charge.Size, n)
}

// countsOf returns the counts that a charge belongs to.
func (a *Account) countsOf(charge Charge) *phaseCounts {
	if charge.Shared {
		return &a.shared
	}
	counts := a.teams[charge.Team]
	if counts == nil {
		counts = &phaseCounts{}
		a.teams[charge.Team] = counts
	}
	return counts
}

// addPhases adds the charges of some phases to an amount.
func (c *phaseCounts) addPhases(amount Amount, of ...Phase) Amount {
	if c == nil {
		return amount
	}
	for _, phase := range of {
		amount = amount.Add(c[phase].total())
	}
	return amount
}

// InUse is what a team's attempts use that may be on machines, together with all that is shared.
func (a *Account) InUse(team string) Amount {
	return a.sum(team, Present, Stopping)
}

// Committed is what is in use and what is planned.
func (a *Account) Committed(team string) Amount {
	return a.sum(team, Planned, Present, Stopping)
}

// sum adds up the charges of some phases: the shared ones, then the team's.
func (a *Account) sum(team string, of ...Phase) Amount {
	return a.teams[team].addPhases(a.shared.addPhases(Amount{}, of...), of...)
}

// NotStopping is what is in use by a team's own attempts that were not requested to stop.
func (a *Account) NotStopping(team string) Amount {
	return a.teams[team].addPhases(Amount{}, Present)
}

// Empty reports whether nothing is charged to anybody.
func (a *Account) Empty() bool {
	for _, counts := range a.teams {
		if !counts.empty() {
			return false
		}
	}
	return a.shared.empty()
}

func (c *phaseCounts) empty() bool {
	for i := range c {
		if len(c[i].counts) > 0 {
			return false
		}
	}
	return true
}
