package quota

import (
	"strings"

	"marigoldshed.example/marigoldshed/common/id"
)

// Transfer is the total number of a team's slots that one member has ever transferred to another.
type Transfer struct {
	From  id.Member `json:"from"`
	To    id.Member `json:"to"`
	Team  id.Team   `json:"team"`
	Total int       `json:"total"`
}

// ReturnedTotal is the total number of slots of one team that a member has ever returned.
type ReturnedTotal struct {
	Team  id.Team `json:"team"`
	Total int     `json:"total"`
}

// Ledger accounts for the slots of every team's upper limit that members hold. The sum over all
// members never grows past the limit; members move slots among themselves without the log and
// report it afterwards, so the split among them lags and only the sum is exact.
type Ledger struct {
	Teams map[id.Team]*Account `json:"teams"`
	Moved map[string]int       `json:"moved"` // transferred totals, by moveKey
}

// Account is one team's part of the ledger.
type Account struct {
	Limit    int               `json:"limit"`
	Held     map[id.Member]int `json:"held"`     // slots by the member that reported them
	Issued   map[id.Member]int `json:"issued"`   // slots ever issued to a live member
	Returned map[id.Member]int `json:"returned"` // slots ever returned by a live member
}

// Excess returns the slots that members hold above the limit since it was lowered; while there are
// any, no work may start for the team.
func (a *Account) Excess() int { return max(0, a.Outstanding()-a.Limit) }

// moveKey returns the key of the total that one member has transferred to another for a team.
func moveKey(t Transfer) string {
	return string(t.From) + ">" + string(t.To) + ">" + string(t.Team)
}

// NewLedger returns a ledger without accounts.
func NewLedger() Ledger {
	return Ledger{Teams: map[id.Team]*Account{}, Moved: map[string]int{}}
}

func (l *Ledger) account(team id.Team) *Account {
	a, ok := l.Teams[team]
	if !ok {
		a = &Account{Held: map[id.Member]int{}, Issued: map[id.Member]int{}, Returned: map[id.Member]int{}}
		l.Teams[team] = a
	}
	return a
}

// Reported returns the newest total that the ledger has applied for a transfer.
func (l *Ledger) Reported(t Transfer) int { return l.Moved[moveKey(t)] }

// Outstanding returns the slots that all members hold, whether or not the transfers between them are reported yet.
func (a *Account) Outstanding() int {
	sum := 0
	for _, n := range a.Held {
		sum += n
	}
	return sum
}

// Move applies reported totals to the accounts; a total that is not larger than the recorded one changes nothing.
func (l *Ledger) Move(transfers []Transfer) {
	for _, t := range transfers {
		increase := t.Total - l.Moved[moveKey(t)]
		if increase <= 0 {
			continue
		}
		l.Moved[moveKey(t)] = t.Total
		a := l.account(t.Team)
		a.Held[t.From] -= increase
		a.Held[t.To] += increase
	}
}

// Return updates a member's account with the total of slots that the member has returned.
func (l *Ledger) Return(team id.Team, member id.Member, total int) {
	a := l.account(team)
	if increase := total - a.Returned[member]; increase > 0 {
		a.Returned[member] = total
		a.Held[member] -= increase
	}
}

// removeTransfers removes the totals exchanged with a member that can no longer transfer slots.
func (l *Ledger) removeTransfers(member id.Member) {
	for key := range l.Moved {
		from, rest, _ := strings.Cut(key, ">")
		to, _, _ := strings.Cut(rest, ">")
		if from == string(member) || to == string(member) {
			delete(l.Moved, key)
		}
	}
}

// Reclaim frees all slots that a member holds; the member and its tasks must have ended.
func (l *Ledger) Reclaim(member id.Member) {
	for _, a := range l.Teams {
		delete(a.Held, member)
		delete(a.Issued, member)
		delete(a.Returned, member)
	}
	l.removeTransfers(member)
}

// Issue spreads a team's free slots evenly over the live members.
func (l *Ledger) Issue(team id.Team, limit int, live []id.Member) {
	a := l.account(team)
	a.Limit = limit
	free := limit - a.Outstanding()
	if free <= 0 || len(live) == 0 {
		return
	}
	for i, member := range live {
		n := free / len(live)
		if i < free%len(live) {
			n++
		}
		if n > 0 {
			a.Held[member] += n
			a.Issued[member] += n
		}
	}
}
