package peer

import "marigoldshed.example/marigoldshed/internal/encoding/cbor"

// codec carries messages as CBOR over connect.
type codec struct{}

// Name returns the codec's name in content types.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) {
	return cbor.Marshal(message)
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error {
	return cbor.Unmarshal(data, message)
}
