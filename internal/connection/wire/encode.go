package wire

import (
	"bytes"
	"fmt"
)

// Encode returns the encoded frame.
func Encode(f Frame) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(byte(f.frameType()))
	if err := encoder.MarshalToBuffer(f, &b); err != nil {
		return nil, fmt.Errorf("encode frame type %d: %w", f.frameType(), err)
	}
	if b.Len() > MaxFrame {
		return nil, fmt.Errorf("%w: type %d has %d bytes", ErrTooLarge, f.frameType(), b.Len())
	}
	return b.Bytes(), nil
}
