package machines

import (
	"slices"
	"sort"
	"strings"
)

// fairShare allocates instances to pools by max-min fair share when overlapping surges need more than exist: each pool
// gets its floor as far as it needs that, small needs are met in full, and the large ones share the remainder equally.
// The shares do not depend on how far the large needs exceed them, so that instances stay in their pools while a
// backlog grows.
func fairShare(needs, floors map[string]int, total int) map[string]int {
	shareAt := func(pool string, level int) int { return max(min(needs[pool], floors[pool]), min(needs[pool], level)) }
	sum := func(level int) int {
		all := 0
		for pool := range needs {
			all += shareAt(pool, level)
		}
		return all
	}
	level := max(0, sort.Search(total+1, func(level int) bool { return sum(level) > total })-1)
	left := total - sum(level)
	pools := make([]string, 0, len(needs))
	shares := map[string]int{}
	for pool := range needs {
		pools = append(pools, pool)
		shares[pool] = shareAt(pool, level)
	}
	slices.SortFunc(pools, func(a, b string) int {
		if needs[a] != needs[b] {
			return needs[b] - needs[a]
		}
		return strings.Compare(a, b)
	})
	for _, pool := range pools {
		if left > 0 && shares[pool] == level && shares[pool] < needs[pool] {
			shares[pool]++
			left--
		}
	}
	return shares
}
