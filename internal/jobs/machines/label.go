package machines

import (
	"slices"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// shortage counts how many more instances with a label or on a rack a pool needs than serve it.
type shortage struct {
	labels map[string]int // labels that tasks require
	racks  map[string]int // racks on which tasks run faster
}

// shortageOf compares the demand for labels and racks with a pool's instances; a negative count is a surplus.
func (r *round) shortageOf(pool string) shortage {
	load := r.Loads[pool]
	s := shortage{labels: map[string]int{}, racks: map[string]int{}}
	unit := max(1, r.typical.CPU)
	for label, cpu := range load.Labels {
		s.labels[label] = ceil(cpu*headroom/percent, unit)
	}
	for rack, cpu := range load.Racks {
		s.racks[rack] = ceil(cpu, unit)
	}
	for _, m := range r.members[pool] {
		if r.usable(m) {
			s.subtract(m)
		}
	}
	return s
}

// subtract subtracts an instance that serves the pool from the counts.
func (s *shortage) subtract(m *catalog.Instance) {
	for label := range s.labels {
		if slices.Contains(m.Labels, label) {
			s.labels[label]--
		}
	}
	if _, wanted := s.racks[m.Rack]; wanted {
		s.racks[m.Rack]--
	}
}

// lacksLabel reports whether the pool has too few instances with one of the instance's labels.
func (s *shortage) lacksLabel(m *catalog.Instance) bool {
	for label, n := range s.labels {
		if n > 0 && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// rank ranks an instance that can be moved in: first those with a label in short supply, then those on such a rack.
func (s *shortage) rank(m *catalog.Instance) int {
	if s.lacksLabel(m) {
		return 2
	}
	if s.racks[m.Rack] > 0 {
		return 1
	}
	return 0
}

// mustKeep reports whether the pool must keep an instance because of one of its labels.
func (s *shortage) mustKeep(m *catalog.Instance) bool {
	for label, n := range s.labels {
		if n >= 0 && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// prefersToKeep reports whether the pool prefers to keep an instance because its rack has no surplus.
func (s *shortage) prefersToKeep(m *catalog.Instance) bool {
	n, wanted := s.racks[m.Rack]
	return wanted && n >= 0
}
