package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// codec carries messages as CBOR over connect.
type codec struct{}

// Name returns the codec's name in content types.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	return data, errors.Annotatef(err, "encoding %T", message)
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error {
	return errors.Annotatef(cbor.Unmarshal(data, message), "decoding %T", message)
}
