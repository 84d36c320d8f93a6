package catalog

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Route identifies what callers address: a host and a path prefix. It stays the same when a queue gets another name or pool.
type Route string

// Route returns the route of a queue.
func (q *Queue) Route() Route {
	return Route(strconv.FormatUint(xxhash.Sum64String(strings.ToLower(q.Host)+"\n"+q.Prefix), 16))
}
