package machines

import (
	"slices"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// shortage is how many more instances of some kinds a pool needs than serve it.
type shortage struct {
	labels map[string]int // without which tasks cannot run
	racks  map[string]int // on which tasks would run faster
}

// shortageOf counts a pool's instances against the demand that only some of them can meet; negative counts are to spare.
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
			s.take(m)
		}
	}
	return s
}

// take notes that an instance serves the pool.
func (s *shortage) take(m *catalog.Instance) {
	for label := range s.labels {
		if slices.Contains(m.Labels, label) {
			s.labels[label]--
		}
	}
	if _, wanted := s.racks[m.Rack]; wanted {
		s.racks[m.Rack]--
	}
}

// lacksLabel reports whether too few instances have one of the labels of an instance.
func (s *shortage) lacksLabel(m *catalog.Instance) bool {
	for label, n := range s.labels {
		if n > 0 && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// worth ranks an instance that may come: one with a label that is short before one of a rack that is short.
func (s *shortage) worth(m *catalog.Instance) int {
	if s.lacksLabel(m) {
		return 2
	}
	if s.racks[m.Rack] > 0 {
		return 1
	}
	return 0
}

// needs reports whether an instance must stay because of one of its labels.
func (s *shortage) needs(m *catalog.Instance) bool {
	for label, n := range s.labels {
		if n >= 0 && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// likes reports whether an instance is on a rack that is not too well served.
func (s *shortage) likes(m *catalog.Instance) bool {
	n, wanted := s.racks[m.Rack]
	return wanted && n >= 0
}
