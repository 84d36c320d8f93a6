package runtimes

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Stored is what a successor needs of a model. Numbers are integers, which take fewer bytes; racks are learned anew.
type Stored struct {
	Version int          `cbor:"1,keyasint"`
	Kinds   []storedKind `cbor:"2,keyasint,omitempty"` // the most useful first
}

// storedVersion is the version of Stored. Records of a higher one are not read.
const storedVersion = 1

// perMille is the unit of stored numbers.
const perMille = 1000

type storedKind struct {
	Image   string        `cbor:"1,keyasint,omitempty"`
	Queue   string        `cbor:"2,keyasint,omitempty"`
	Step    int           `cbor:"3,keyasint,omitempty"`
	Ends    int64         `cbor:"4,keyasint"`
	Failed  int64         `cbor:"5,keyasint,omitempty"`
	Numbers []int64       `cbor:"6,keyasint"` // in the order of kind.numbers
	Levels  []storedLevel `cbor:"7,keyasint,omitempty"`
	Tail    []byte        `cbor:"8,keyasint,omitempty"` // counts of residuals relative to the highest
	Total   int64         `cbor:"9,keyasint,omitempty"`
}

type storedLevel struct {
	_            struct{} `cbor:",toarray"`
	Number       int
	Weight       int64
	MeanX, MeanY int64
}

// numbers returns the fields that are stored, in a fixed order. A later version appends new ones.
func (k *kind) numbers() []*float64 {
	return []*float64{&k.weight, &k.meanY, &k.declared, &k.meanX, &k.meanZ, &k.sumXX, &k.sumXZ, &k.scale, &k.declaredError, &k.regressionError}
}

// maxNumber bounds stored numbers: no weight, sum or logarithm of a time is higher.
const maxNumber = 1e5

// Changed reports whether the model has learned anything since the last call of Stored.
func (m *Model) Changed() bool { return m.changed }

// Stored returns what is to be stored, kinds with the newest ends first.
func (m *Model) Stored() Stored {
	m.changed = false
	keys := make([]Key, 0, len(m.kinds))
	for key := range m.kinds {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		switch ka, kb := m.kinds[a], m.kinds[b]; {
		case kb.isWorthLess(ka):
			return -1
		case ka.isWorthLess(kb):
			return 1
		}
		return compareKeys(a, b)
	})
	s := Stored{Version: storedVersion}
	for _, key := range keys {
		s.Kinds = append(s.Kinds, m.kinds[key].stored(key))
	}
	return s
}

func (k *kind) stored(key Key) storedKind {
	s := storedKind{Image: key.Image, Queue: key.Queue, Step: key.Step, Ends: k.ends, Failed: k.failed, Total: int64(k.residuals.total)}
	for _, n := range k.numbers() {
		s.Numbers = append(s.Numbers, inPerMille(*n))
	}
	for _, l := range k.levels {
		s.Levels = append(s.Levels, storedLevel{Number: l.number, Weight: inPerMille(l.weight), MeanX: inPerMille(l.meanX), MeanY: inPerMille(l.meanY)})
	}
	s.Tail = k.residuals.bytes()
	return s
}

func inPerMille(v float64) int64 { return int64(math.Round(v * perMille)) }

// bytes returns the counts relative to the highest one, without zeros at the end.
func (r *residuals) bytes() []byte {
	highest := slices.Max(r.counts[:])
	if highest <= 0 {
		return nil
	}
	data := make([]byte, 0, buckets)
	last := 0
	for i, c := range r.counts {
		data = append(data, byte(math.Ceil(float64(c/highest)*math.MaxUint8)))
		if c > 0 {
			last = i
		}
	}
	return data[:last+1]
}

func (r *residuals) restore(data []byte, total float64) {
	sum := 0.0
	for i := range min(len(data), buckets) {
		sum += float64(data[i])
	}
	if sum == 0 {
		return
	}
	for i := range min(len(data), buckets) {
		r.counts[i] = float32(float64(data[i]) / sum * total)
	}
	r.total = float32(total)
}

// CanRead reports whether this version of the program reads what was stored.
func (s *Stored) CanRead() bool { return s.Version >= 1 && s.Version <= storedVersion }

// Restore takes over what an earlier owner has stored. Kinds with values that this program cannot have stored are left out.
func (m *Model) Restore(now time.Duration, s Stored) {
	if !s.CanRead() {
		return
	}
	for i := range s.Kinds {
		if len(m.kinds) >= m.config.MaxKeys {
			return
		}
		key := Key{Image: s.Kinds[i].Image, Queue: s.Kinds[i].Queue, Step: s.Kinds[i].Step}.kind()
		if k, ok := s.Kinds[i].restore(now); ok {
			m.kinds[key] = k
		}
	}
}

func (s *storedKind) restore(now time.Duration) (*kind, bool) {
	k := &kind{ends: s.Ends, failed: s.Failed, updated: now}
	numbers := k.numbers()
	if len(s.Numbers) < len(numbers) || s.Ends < 1 || s.Failed < 0 {
		return nil, false
	}
	for i, n := range numbers {
		*n = clamp(float64(s.Numbers[i])/perMille, -maxNumber, maxNumber)
	}
	longest := math.Log(maxTook.Seconds())
	if k.weight < 0 || k.weight > memory || k.declared < 0 || k.declared > memory || k.sumXX < 0 || math.Abs(k.meanY) > longest ||
		math.Abs(k.meanX) > longest || math.Abs(k.meanZ) > 2*longest || k.scale < minScale || k.scale > maxScale ||
		k.declaredError < 0 || k.regressionError < 0 {
		return nil, false
	}
	for _, l := range s.Levels[:min(len(s.Levels), maxLevels)] {
		k.levels = append(k.levels, level{
			number: l.Number, weight: clamp(float64(l.Weight)/perMille, 0, memory),
			meanX: clamp(float64(l.MeanX)/perMille, -longest, longest), meanY: clamp(float64(l.MeanY)/perMille, -longest, longest),
		})
	}
	k.residuals.restore(s.Tail, clamp(float64(s.Total), 0, tailMemory))
	k.derive()
	return k, true
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Image, b.Image), strings.Compare(a.Queue, b.Queue), cmp.Compare(a.Step, b.Step))
}
