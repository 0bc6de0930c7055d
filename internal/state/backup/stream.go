// Package backup exports all records of the state service at one revision while the service runs, in a
// stream format that detects damage, and restores them into an empty state service (docs/history.md,
// "Exports").
//
// Export writes a stream, CheckExport validates one, Import restores one, and Verify checks the
// invariants of the records in place. Export and Verify read the records with ReadAll. Only Import writes
// to the state service, and it only creates keys and deletes its own marker. A stream must not be used
// unless it was read up to its trailer without a DamagedError.
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

// magic is the start of every export. The last byte is the version of the stream format.
var magic = [8]byte{'M', 'M', 'S', 'T', 'A', 'T', 'E', 1}

const (
	// maxFrameBytes is the maximum size of a frame's content, both compressed and uncompressed.
	maxFrameBytes = 8 << 20
	// headerBytes is the size of a frame header: 4 bytes of length and 8 bytes of checksum.
	headerBytes = 4 + 8
)

// Record is a key with its value. A nil value means that the key was deleted.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// frame is one part of a stream: records from a page of the state service, changes made while the pages
// were read, in order, or the trailer.
type frame struct {
	Base    []Record `cbor:"1,keyasint,omitempty"`
	Changes []Record `cbor:"2,keyasint,omitempty"`
	Trailer *Trailer `cbor:"3,keyasint,omitempty"`
}

// Trailer is the trailer of a stream.
type Trailer struct {
	Revision wire.Revision   `cbor:"1,keyasint"` // revision of the records
	At       wire.UnixMillis `cbor:"2,keyasint"` // time of the export
	Base     int             `cbor:"3,keyasint"` // number of records from pages
	Changes  int             `cbor:"4,keyasint"` // number of changes made while the pages were read
	Sum      uint64          `cbor:"5,keyasint"` // checksum of the headers of all preceding frames
}

// DamagedError reports that a stream is damaged or incomplete. No part of it may be used.
type DamagedError struct {
	Offset int64 // byte offset of the damaged frame
	Reason string
}

// Error implements error.
func (d *DamagedError) Error() string {
	return fmt.Sprintf("backup: damaged at byte %d: %s", d.Offset, d.Reason)
}

// streamWriter writes frames. A frame consists of the length of its content (4 bytes), the xxhash64
// checksum of its content (8 bytes), and the content, encoded in CBOR and compressed with zstd.
type streamWriter struct {
	out        io.Writer
	compressor *zstd.Encoder
	checksum   *xxhash.Digest // of all headers
	trailer    Trailer
}

// newStreamWriter writes the magic number and returns a writer for the frames.
func newStreamWriter(out io.Writer) (*streamWriter, error) {
	compressor, err := zstd.NewWriter(nil)
	if err != nil {
		return nil, err
	}
	_, err = out.Write(magic[:])
	return &streamWriter{out: out, compressor: compressor, checksum: xxhash.New()}, err
}

// write writes a frame.
func (w *streamWriter) write(f frame) error {
	w.trailer.Base += len(f.Base)
	w.trailer.Changes += len(f.Changes)
	content, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if len(content) > maxFrameBytes {
		return fmt.Errorf("backup: frame of %d bytes exceeds the size limit", len(content))
	}
	content = w.compressor.EncodeAll(content, nil)
	header := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(content))
	if _, err := w.out.Write(header); err != nil {
		return err
	}
	_, _ = w.checksum.Write(header) // never fails
	_, err = w.out.Write(content)
	return err
}

// close writes the trailer and returns it.
func (w *streamWriter) close(revision wire.Revision, at wire.UnixMillis) (Trailer, error) {
	w.trailer.Revision, w.trailer.At, w.trailer.Sum = revision, at, w.checksum.Sum64()
	return w.trailer, w.write(frame{Trailer: &w.trailer})
}

// decode calls visit for every frame of a stream except the trailer, which it returns. The error is
// a *DamagedError if the stream is damaged or incomplete, or the error returned by visit.
func decode(in io.Reader, visit func(frame) error) (Trailer, error) {
	decompressor, err := zstd.NewReader(
		nil,
		zstd.WithDecoderMaxMemory(maxFrameBytes),
		zstd.WithDecoderConcurrency(1),
	)
	if err != nil {
		return Trailer{}, err
	}
	defer decompressor.Close()
	r := &streamReader{in: bufio.NewReader(in), decompressor: decompressor, checksum: xxhash.New()}
	if err := r.readMagic(); err != nil {
		return Trailer{}, err
	}
	for {
		f, err := r.next()
		if err != nil {
			return Trailer{}, err
		}
		if f.Trailer != nil {
			if err := r.expectEOF(); err != nil {
				return Trailer{}, err
			}
			return *f.Trailer, nil
		}
		if err := visit(f); err != nil {
			return Trailer{}, err
		}
	}
}

// streamReader reads and checks frames.
type streamReader struct {
	in           *bufio.Reader
	decompressor *zstd.Decoder

	offset int64 // byte offset of the current frame
	size   int64 // size of the preceding frame in bytes, including the header

	// The checksum of the headers and the counts of all frames so far, to compare with the trailer.
	checksum      *xxhash.Digest
	base, changes int
}

// damaged returns a *DamagedError for the current frame.
func (r *streamReader) damaged(format string, args ...any) error {
	return &DamagedError{r.offset, fmt.Sprintf(format, args...)}
}

// readMagic reads and checks the magic number.
func (r *streamReader) readMagic() error {
	var head [len(magic)]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil || head != magic {
		return r.damaged("not an export, or unsupported format version")
	}
	r.size = int64(len(magic))
	return nil
}

// next reads a frame. It checks a trailer against the preceding frames.
func (r *streamReader) next() (frame, error) {
	r.offset += r.size
	var header [headerBytes]byte
	content, err := r.readContent(&header)
	if err != nil {
		return frame{}, err
	}
	content, err = r.decompressor.DecodeAll(content, nil)
	if err != nil {
		return frame{}, r.damaged("%v", err)
	}
	var f frame
	if err := cbor.Unmarshal(content, &f); err != nil {
		return frame{}, r.damaged("%v", err)
	}
	if f.Trailer != nil {
		if f.Trailer.Sum != r.checksum.Sum64() || f.Trailer.Base != r.base || f.Trailer.Changes != r.changes {
			return frame{}, r.damaged("frames missing or out of order before the trailer")
		}
		return f, nil
	}
	_, _ = r.checksum.Write(header[:]) // never fails
	r.base += len(f.Base)
	r.changes += len(f.Changes)
	return f, nil
}

// readContent reads a frame's header and its compressed content, and verifies the checksum.
func (r *streamReader) readContent(header *[headerBytes]byte) ([]byte, error) {
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, r.damaged("unexpected end of file")
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, r.damaged("frame length of %d bytes exceeds the limit", n)
	}
	content := make([]byte, n)
	if _, err := io.ReadFull(r.in, content); err != nil {
		return nil, r.damaged("unexpected end of file")
	}
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(header[4:]) {
		return nil, r.damaged("checksum mismatch")
	}
	r.size = headerBytes + int64(n)
	return content, nil
}

// expectEOF checks that no data follows the trailer.
func (r *streamReader) expectEOF() error {
	r.offset += r.size
	if _, err := r.in.ReadByte(); !errors.Is(err, io.EOF) {
		return r.damaged("unexpected data after the trailer")
	}
	return nil
}
