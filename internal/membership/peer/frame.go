package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// A frame is the length of the body in bytes, as a big-endian 32-bit integer, followed by a status encoded
// in CBOR.
const (
	frameHeaderBytes = 4
	maxFrameBytes    = 4 << 20 // enough for a status with 20,000 machines
)

// Errors returned for rejected frames.
var (
	errFrameTooLong       = errors.New("frame too long")
	errUnsupportedVersion = errors.New("unsupported version")
)

// writeFrame writes a status as one frame.
func writeFrame(w io.Writer, s *Status) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("peer: encode status: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(body)), uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("peer: write status: %w", err)
	}
	return nil
}

// readFrame reads a status from one frame.
func readFrame(r *bufio.Reader) (*Status, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("peer: read frame: %w", err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("peer: read frame of %d bytes, limit is %d: %w", n, maxFrameBytes, errFrameTooLong)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("peer: read frame of %d bytes: %w", n, err)
	}
	s := &Status{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("peer: decode status: %w", err)
	}
	if s.Version < OldestVersion || s.Version > Version {
		return nil, fmt.Errorf(
			"peer: status has version %d, supported are %d to %d: %w",
			s.Version,
			OldestVersion,
			Version,
			errUnsupportedVersion,
		)
	}
	return s, nil
}

// negotiateVersion returns the newest version that both this controller and the sender of a probe support.
// Senders that predate version negotiation set only Version, to the one that they support.
func negotiateVersion(probe *Status) int { return min(Version, max(probe.Version, probe.MaxVersion)) }
