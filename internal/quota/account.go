// Package quota accounts for the resources that teams use. The account is updated incrementally:
// each attempt has one charge, and a change of the attempt replaces its charge. Reading the usage
// of a team takes time at most proportional to the number of distinct task sizes of the team and of
// the shared charges, not to the number of attempts or machines.
//
// The package is pure: no I/O, no clock.
package quota

// Amount is an amount of the resources that have quotas. Memory has none.
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

// Phase is the phase of the attempt that a charge is for.
type Phase uint8

// Phases. A charge of phase None adds nothing.
const (
	None     Phase = iota
	Planned        // assigned to a machine; nothing was sent yet
	Present        // may be on its machine
	Stopping       // may be on its machine, and has been requested to stop

	numPhases = iota // number of phases
)

// Charge is what one attempt adds to the account. The zero Charge adds nothing.
type Charge struct {
	Phase  Phase
	Shared bool   // the owner is unknown: it counts for every team
	Team   string // the owner; ignored if Shared
	Size   Amount // resources of the attempt's task
}

// Account holds the sums of all charges. It is not safe for concurrent use.
type Account struct {
	teams  map[string]*phaseCounts
	shared phaseCounts
}

// phaseCounts counts charges by phase and size.
type phaseCounts [numPhases]sizeCounts

// sizeCounts counts charges by size and caches their sum until a count changes. The counts are
// integers, since a running sum of decimal amounts accumulates rounding errors and does not return
// to zero.
type sizeCounts struct {
	counts   map[Amount]int
	sum      Amount // of all charges; valid unless sumStale
	sumStale bool   // a count has changed since sum was computed
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

// Replace removes the charge old from the account and adds the charge next.
func (a *Account) Replace(old, next Charge) {
	if old == next {
		return
	}
	a.add(old, -1)
	a.add(next, 1)
}

// add adds n, which may be negative, to the count of a charge.
func (a *Account) add(charge Charge, n int) {
	if charge.Phase == None {
		return
	}
	a.countsOf(charge)[charge.Phase].add(charge.Size, n)
}

// countsOf returns the counts that a charge belongs to: those of its team, which it creates if
// there are none, or the shared ones.
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

// addPhases returns the amount plus the charges of some phases.
func (c *phaseCounts) addPhases(amount Amount, phases ...Phase) Amount {
	if c == nil {
		return amount
	}
	for _, phase := range phases {
		amount = amount.Add(c[phase].total())
	}
	return amount
}

// InUse returns the usage of a team's attempts that may be on machines, plus all shared charges.
func (a *Account) InUse(team string) Amount {
	return a.sum(team, Present, Stopping)
}

// Committed returns InUse plus the charges of planned attempts.
func (a *Account) Committed(team string) Amount {
	return a.sum(team, Planned, Present, Stopping)
}

// sum returns the sum of the shared charges and the team's charges in some phases.
func (a *Account) sum(team string, phases ...Phase) Amount {
	return a.teams[team].addPhases(a.shared.addPhases(Amount{}, phases...), phases...)
}

// NotStopping returns the usage of a team's own attempts that may be on machines and have not been
// requested to stop.
func (a *Account) NotStopping(team string) Amount {
	return a.teams[team].addPhases(Amount{}, Present)
}

// Empty reports whether the account holds no charges.
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
