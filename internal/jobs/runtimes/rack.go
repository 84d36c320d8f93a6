package runtimes

// A slow rack must not make the kinds that run on it look long. A rack is judged only by kinds that also run elsewhere, so that a kind
// which runs on one rack and has become longer is not taken for a slow rack.

// rack holds what is known of one rack.
type rack struct {
	name string
	ends float64 // up to rackMemory
	mean float64 // of run time minus prediction, of kinds that also run elsewhere
}

// Limits for judging racks.
const (
	maxRacks    = 64
	rackMemory  = 30  // ends that a rack's mean covers
	minRackEnds = 10  // ends before a rack is judged
	slowRack    = 0.4 // excess over the other racks from which a rack is slow; 1.5 times as long
	maxResidual = 3.0 // 20 times as long
)

// rackRing holds the racks of the newest ends of a kind, by index + 1; 0 stands for none.
type rackRing struct {
	newest [8]uint8
	next   uint8
}

// add adds the rack of an end.
func (r *rackRing) add(index int) {
	r.newest[r.next] = uint8(index + 1)
	r.next = (r.next + 1) % uint8(len(r.newest))
}

// elsewhere reports whether at least half of the newest ends came from other racks.
func (r *rackRing) elsewhere(index int) bool {
	others := 0
	for _, one := range r.newest {
		if one > 0 && int(one) != index+1 {
			others++
		}
	}
	return others >= len(r.newest)/2
}

// rackExcess records the error of a prediction for a rack and returns by how much runs there take longer than on other racks, or 0 if
// the rack is not slow.
func (m *Model) rackExcess(k *kind, name string, err float64) float64 {
	index := m.rackIndex(name)
	if index < 0 {
		return 0
	}
	comparable := k.racks.elsewhere(index)
	k.racks.add(index)
	if !comparable {
		return 0
	}
	r := &m.racks[index]
	r.ends = min(r.ends+1, rackMemory)
	r.mean += (clamp(err, -maxResidual, maxResidual) - r.mean) / r.ends
	if r.ends < minRackEnds {
		return 0
	}
	sum, ends := 0.0, 0.0
	for i := range m.racks {
		if i != index && m.racks[i].ends >= minRackEnds {
			sum += m.racks[i].mean * m.racks[i].ends
			ends += m.racks[i].ends
		}
	}
	if ends == 0 {
		return 0
	}
	if excess := r.mean - sum/ends; excess > slowRack {
		return excess
	}
	return 0
}

// rackIndex returns the index of a rack, or -1 if it has no name or there are too many.
func (m *Model) rackIndex(name string) int {
	if name == "" {
		return -1
	}
	for i := range m.racks {
		if m.racks[i].name == name {
			return i
		}
	}
	if len(m.racks) >= maxRacks {
		return -1
	}
	m.racks = append(m.racks, rack{name: name})
	return len(m.racks) - 1
}
