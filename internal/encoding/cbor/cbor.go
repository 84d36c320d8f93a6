package cbor

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// mode keeps the fractions of seconds, which the default drops.
var mode = newMode()

func newMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options above are constant
	}
	return m
}

// Marshal returns the encoded form of a value.
func Marshal(value any) ([]byte, error) {
	data, err := mode.Marshal(value)
	return data, errors.Annotatef(err, "encoding %T", value)
}

// Unmarshal decodes what Marshal returned.
func Unmarshal(data []byte, value any) error {
	return errors.Annotatef(cbor.Unmarshal(data, value), "decoding %T", value)
}
