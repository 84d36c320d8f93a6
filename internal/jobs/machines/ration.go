package machines

import (
	"slices"
	"sort"
	"strings"
)

// ration deals instances out to pools that together may need more than there are, for surges that overlap: each pool
// gets its floor, small needs are met whole, and the large ones get equal parts of the rest. The parts do not depend
// on how much the large needs go beyond them, so that instances stay where they are while a backlog grows.
func ration(needs, floors map[string]int, total int) map[string]int {
	part := func(pool string, level int) int { return max(min(needs[pool], floors[pool]), min(needs[pool], level)) }
	sum := func(level int) int {
		all := 0
		for pool := range needs {
			all += part(pool, level)
		}
		return all
	}
	level := max(0, sort.Search(total+1, func(level int) bool { return sum(level) > total })-1)
	left := total - sum(level)
	pools := make([]string, 0, len(needs))
	parts := map[string]int{}
	for pool := range needs {
		pools = append(pools, pool)
		parts[pool] = part(pool, level)
	}
	slices.SortFunc(pools, func(a, b string) int {
		if needs[a] != needs[b] {
			return needs[b] - needs[a]
		}
		return strings.Compare(a, b)
	})
	for _, pool := range pools {
		if left > 0 && parts[pool] == level && parts[pool] < needs[pool] {
			parts[pool]++
			left--
		}
	}
	return parts
}
