package buffer

// freeMultiple is how many times the free memory one team may hold. A team that takes all it can get leaves a third of the limit to the
// others.
const freeMultiple = 2

// Buffer counts what teams hold against a limit.
type Buffer struct {
	limit int64 // bytes, 0 for no limit
	used  int64
	teams map[string]int64
}

// New returns an empty Buffer with a limit in bytes; 0 means no limit.
func New(limit int64) *Buffer { return &Buffer{limit: limit, teams: map[string]int64{}} }

// SetLimit changes the limit, in bytes. What is held stays.
func (b *Buffer) SetLimit(bytes int64) { b.limit = bytes }

// Limit returns the limit, in bytes; 0 means no limit.
func (b *Buffer) Limit() int64 { return b.limit }

// Used returns what all teams hold, in bytes.
func (b *Buffer) Used() int64 { return b.used }

// Fits reports whether a team may hold so many bytes more. Any number fits an empty Buffer.
func (b *Buffer) Fits(team string, bytes int64) bool {
	if b.limit <= 0 || b.used == 0 {
		return true
	}
	return b.used+bytes <= b.limit && b.teams[team]+bytes <= freeMultiple*(b.limit-b.used)
}

// Add changes what a team holds, by a number of bytes that may be negative.
func (b *Buffer) Add(team string, bytes int64) {
	b.used += bytes
	if b.teams[team] += bytes; b.teams[team] == 0 {
		delete(b.teams, team)
	}
}
