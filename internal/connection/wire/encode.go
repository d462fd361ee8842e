package wire

import (
	"bytes"
	"fmt"
	"sync"
)

// buffers pools the buffers of Encode, so that a frame costs one allocation of its size instead of one for each growth of a
// new buffer.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Encode returns the encoded frame.
func Encode(f Frame) ([]byte, error) {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	b.WriteByte(byte(f.frameType()))
	if err := encoder.MarshalToBuffer(f, b); err != nil {
		return nil, fmt.Errorf("encode frame type %d: %w", f.frameType(), err)
	}
	if b.Len() > MaxFrame {
		return nil, fmt.Errorf("%w: type %d has %d bytes", ErrTooLarge, f.frameType(), b.Len())
	}
	return bytes.Clone(b.Bytes()), nil
}
