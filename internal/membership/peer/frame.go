package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A frame is a status in CBOR after its length in bytes, a big-endian 32-bit number.
const (
	frameHeader = 4       // bytes
	maxFrame    = 4 << 20 // bytes; a status of twenty thousand machines fits
)

// Errors of frames that are not taken.
var (
	errFrameTooLong = errors.New("frame too long")
	errVersion      = errors.New("version not spoken")
)

// writeFrame writes a status as one frame.
func writeFrame(w io.Writer, s *Status) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("peer: encode status: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeader+len(body)), uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("peer: write status: %w", err)
	}
	return nil
}

// readFrame reads a status from one frame.
func readFrame(r *bufio.Reader) (*Status, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("peer: read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrame {
		return nil, fmt.Errorf("peer: read frame of %d bytes, at most %d: %w", n, maxFrame, errFrameTooLong)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("peer: read frame of %d bytes: %w", n, err)
	}
	s := &Status{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("peer: decode status: %w", err)
	}
	if s.Version < Oldest || s.Version > Version {
		return nil, fmt.Errorf("peer: status of version %d, not %d to %d: %w", s.Version, Oldest, Version, errVersion)
	}
	return s, nil
}

// agreedVersion returns the newest version that this controller and an asker speak. Askers from before
// versions were negotiated name only the one that they speak.
func agreedVersion(ask *Status) int { return min(Version, max(ask.Version, ask.MaxVersion)) }
