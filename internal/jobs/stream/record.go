package stream

import "fmt"

// MaxKeyBytes is the length of the longest key that the store takes.
const MaxKeyBytes = 255

// Record is one keyed record. A record without a value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// RecordError reports a record that the store never takes, however often it is sent.
type RecordError struct{ KeyBytes, ValueBytes int }

// Error returns a message with the sizes.
func (e RecordError) Error() string {
	return fmt.Sprintf("store: no record may have a key of %d bytes and a value of %d", e.KeyBytes, e.ValueBytes)
}

// Check returns a RecordError for a record that the store never takes, as its key or its value, of which maxValue bytes are
// allowed, is too long.
func (r Record) Check(maxValue int) error {
	if r.Key == "" || len(r.Key) > MaxKeyBytes || len(r.Value) > maxValue {
		return RecordError{KeyBytes: len(r.Key), ValueBytes: len(r.Value)}
	}
	return nil
}
