package relay

import (
	"net/http"

	"golang.org/x/sync/semaphore"
)

// Bounds of the reads that an instance does for others. A reply holds up to 3 MB until its receiver has taken it: a page of the store,
// decoded and encoded.
const (
	minReads       = 4
	memoryPerRead  = 16 << 20
	unlimitedReads = 1 << 10 // where the memory is not known
)

// MaxReads returns how many reads an instance with so much memory does for others at the same time; 0 bytes means that the memory is not
// known.
func MaxReads(memory int64) int64 {
	if memory <= 0 {
		return unlimitedReads
	}
	return max(minReads, memory/memoryPerRead)
}

// LimitReads returns a handler that passes requests on, but no more than so many reads at the same time. Others are answered 503, after
// which an instance asks another one.
func LimitReads(next http.Handler, reads int64) http.Handler {
	places := semaphore.NewWeighted(reads)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == readPath {
			if !places.TryAcquire(1) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer places.Release(1)
		}
		next.ServeHTTP(w, r)
	})
}
