package id

// Set holds distinct values of one comparable type.
type Set[T comparable] map[T]struct{}

// NewSet returns a set that holds the given values.
func NewSet[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add adds a value to the set.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove removes a value from the set.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether the set holds a value.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}
