package machines

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// Silence is the question of a pool whether an instance still has a worker that does not answer.
type Silence struct {
	Worker   string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Number   int64  `cbor:"3,keyasint"` // returned with the answer
}

// goneSince returns the numbers of those silences whose workers the list does not show on their instances, which proves
// that these workers have ended if the list was requested after the question had arrived. An instance that is missing
// in the list proves nothing, since its pages are not read at one moment.
func goneSince(silences []Silence, arrived, listed time.Duration, instances []catalog.Instance) []int64 {
	if len(silences) == 0 || listed < arrived {
		return nil
	}
	workers := make(map[string]string, len(instances))
	for _, m := range instances {
		workers[m.Name] = m.Worker
	}
	var gone []int64
	for _, s := range silences {
		if now, known := workers[s.Instance]; known && now != s.Worker {
			gone = append(gone, s.Number)
		}
	}
	return gone
}
