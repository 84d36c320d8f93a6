package cbor

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// encMode encodes times with fractions of a second, which the library's default drops.
var encMode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // cannot happen: the options above are constant and valid
	}
	return m
}

// Marshal returns the CBOR encoding of a value.
func Marshal(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	return data, errors.Annotatef(err, "encoding %T", value)
}

// Unmarshal decodes data that Marshal returned into the value that a pointer refers to.
func Unmarshal(data []byte, value any) error {
	return errors.Annotatef(cbor.Unmarshal(data, value), "decoding %T", value)
}
