// Package backup takes all records at one revision while the service runs, writes them as a
// stream that tells when it is damaged, and puts them into an empty state service
// (docs/history.md, "Exports").
package backup

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"maddermill/wire"
)

// magic begins every export; the last byte is the version of the form.
var magic = [8]byte{'M', 'M', 'S', 'T', 'A', 'T', 'E', 1}

// mostFrame bounds a frame, packed and unpacked.
const mostFrame = 8 << 20

// Record is a key with its value; nil: the key was deleted.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// frame is one part of a stream: records as pages of the state service had them, changes made
// while these were read, in order, or the end.
type frame struct {
	Base    []Record `cbor:"1,keyasint,omitempty"`
	Changes []Record `cbor:"2,keyasint,omitempty"`
	End     *End     `cbor:"3,keyasint,omitempty"`
}

// End closes a stream.
type End struct {
	Revision wire.Revision   `cbor:"1,keyasint"` // that the records are of
	At       wire.UnixMillis `cbor:"2,keyasint"`
	Base     int             `cbor:"3,keyasint"` // records
	Changes  int             `cbor:"4,keyasint"`
	Sum      uint64          `cbor:"5,keyasint"` // over the sums of all frames before
}

// DamagedError is a stream that is not whole: nothing of it may be used.
type DamagedError struct {
	Offset int64 // of the frame, in bytes
	Reason string
}

func (d *DamagedError) Error() string {
	return fmt.Sprintf("snapshot: damaged at byte %d: %s", d.Offset, d.Reason)
}

// writer writes frames: four bytes of length, eight of the sum (xxhash64) of what follows, and
// the frame in CBOR, packed by zstd.
type writer struct {
	w    io.Writer
	pack *zstd.Encoder
	sums *xxhash.Digest
	end  End
}

func newWriter(w io.Writer) (*writer, error) {
	pack, err := zstd.NewWriter(nil)
	if err != nil {
		return nil, err
	}
	_, err = w.Write(magic[:])
	return &writer{w: w, pack: pack, sums: xxhash.New()}, err
}

func (w *writer) write(f frame) error {
	w.end.Base += len(f.Base)
	w.end.Changes += len(f.Changes)
	b, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if len(b) > mostFrame {
		return fmt.Errorf("snapshot: a frame of %d bytes", len(b))
	}
	b = w.pack.EncodeAll(b, nil)
	head := binary.BigEndian.AppendUint32(nil, uint32(len(b)))
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(b))
	if _, err := w.w.Write(head); err != nil {
		return err
	}
	_, _ = w.sums.Write(head) // never fails
	_, err = w.w.Write(b)
	return err
}

func (w *writer) close(revision wire.Revision, at wire.UnixMillis) (End, error) {
	w.end.Revision, w.end.At, w.end.Sum = revision, at, w.sums.Sum64()
	return w.end, w.write(frame{End: &w.end})
}

// read calls f for every frame of a stream and returns its end. An error that is a *Damaged
// tells where it is not whole.
func read(r io.Reader, f func(frame) error) (End, error) {
	in := bufio.NewReader(r)
	unpack, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(mostFrame), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return End{}, err
	}
	defer unpack.Close()
	var at int64
	damaged := func(format string, a ...any) error { return &DamagedError{at, fmt.Sprintf(format, a...)} }
	var head [12]byte
	if _, err := io.ReadFull(in, head[:8]); err != nil || [8]byte(head[:8]) != magic {
		return End{}, damaged("this is no export, or one of another version")
	}
	at = 8
	sums, base, changes := xxhash.New(), 0, 0
	for {
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return End{}, damaged("it is cut off")
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > mostFrame {
			return End{}, damaged("a frame of %d bytes", n)
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(in, b); err != nil {
			return End{}, damaged("it is cut off")
		}
		if xxhash.Sum64(b) != binary.BigEndian.Uint64(head[4:]) {
			return End{}, damaged("the checksum is not right")
		}
		b, err := unpack.DecodeAll(b, nil)
		if err != nil {
			return End{}, damaged("%v", err)
		}
		var fr frame
		if err := cbor.Unmarshal(b, &fr); err != nil {
			return End{}, damaged("%v", err)
		}
		if fr.End != nil {
			if fr.End.Sum != sums.Sum64() || fr.End.Base != base || fr.End.Changes != changes {
				return End{}, damaged("frames are missing or out of order before the end")
			}
			if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
				at += int64(len(head)) + int64(n)
				return End{}, damaged("something follows the end")
			}
			return *fr.End, nil
		}
		_, _ = sums.Write(head[:]) // never fails
		base += len(fr.Base)
		changes += len(fr.Changes)
		if err := f(fr); err != nil {
			return End{}, err
		}
		at += int64(len(head)) + int64(n)
	}
}
