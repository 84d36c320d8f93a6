package owners

import "marigoldshed.example/marigoldshed/common/id"

// Bounds on the candidates, the members that stay in the group and may own shards.
const (
	maxCandidates    = 24 // in all data centres: half of the group's partitions, so that the surplus shows in every list
	minPerDataCentre = 2
)

// IsCandidate reports whether member self is to be a candidate: one of the heaviest live members of its data centre.
// Every instance of a small fleet is one. Of a large fleet the others stay out of the group, whose partitions would not
// show them all, and whose every change makes each member list the others.
func IsCandidate(self Member, alive []Member) bool {
	dataCentres := id.Set[id.DataCentre]{}
	dataCentres.Add(self.DataCentre)
	heavier := 0
	for _, m := range alive {
		dataCentres.Add(m.DataCentre)
		if m.DataCentre == self.DataCentre && m.Address != self.Address && ranksBefore(m, self) {
			heavier++
		}
	}
	return heavier < max(minPerDataCentre, maxCandidates/len(dataCentres))
}

// IsCrowded reports whether a list of live members may lack some, since each partition of the group has a member of its
// own. An instance outside the group does not join by such a list.
func IsCrowded(alive []Member, partitions int) bool { return len(alive) >= partitions }

// ranksBefore orders the members of a data centre by weight. Ties are broken by a hash, so that the addresses of a rack
// are not all chosen.
func ranksBefore(a, b Member) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return rank("candidates", a) > rank("candidates", b)
}
