// Package backup reads all records of the state service at one revision while the service runs,
// writes them as a stream that shows when it is damaged, and restores them into an empty state
// service (docs/history.md, "Exports").
//
// Export writes a stream and CheckExport reads one; Import restores it; Verify checks the
// invariants of the records in place. All three read the records with Pages. Only Import writes to
// the state service, and it only creates keys. A stream must not be used unless it was read to its
// End without a DamagedError.
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

// magic begins every export; the last byte is the version of the format.
var magic = [8]byte{'M', 'M', 'S', 'T', 'A', 'T', 'E', 1}

const (
	// maxFrameBytes bounds a frame, compressed and uncompressed.
	maxFrameBytes = 8 << 20
	// headerBytes is the size of a frame's header: four bytes of length and eight of checksum.
	headerBytes = 4 + 8
)

// Record is a key with its value; a nil value means that the key was deleted.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// frame is one part of a stream: records as the pages of the state service had them, changes made
// while these pages were read, in order, or the end.
type frame struct {
	Base    []Record `cbor:"1,keyasint,omitempty"`
	Changes []Record `cbor:"2,keyasint,omitempty"`
	End     *End     `cbor:"3,keyasint,omitempty"`
}

// End closes a stream.
type End struct {
	Revision wire.Revision   `cbor:"1,keyasint"` // of the records
	At       wire.UnixMillis `cbor:"2,keyasint"` // when they were exported
	Base     int             `cbor:"3,keyasint"` // records in pages
	Changes  int             `cbor:"4,keyasint"` // changes while the pages were read
	Sum      uint64          `cbor:"5,keyasint"` // checksum over the headers of all frames before
}

// DamagedError reports that a stream is not complete: nothing of it may be used.
type DamagedError struct {
	Offset int64 // of the frame, in bytes
	Reason string
}

// Error implements error.
func (d *DamagedError) Error() string {
	return fmt.Sprintf("backup: damaged at byte %d: %s", d.Offset, d.Reason)
}

// streamWriter writes frames. A frame is four bytes of length, eight of checksum (xxhash64) of what
// follows, and its content in CBOR, compressed with zstd.
type streamWriter struct {
	out        io.Writer
	compressor *zstd.Encoder
	sums       *xxhash.Digest // over all headers
	end        End
}

// newWriter writes the head of a stream and returns a writer for its frames.
func newWriter(out io.Writer) (*streamWriter, error) {
	compressor, err := zstd.NewWriter(nil)
	if err != nil {
		return nil, err
	}
	_, err = out.Write(magic[:])
	return &streamWriter{out: out, compressor: compressor, sums: xxhash.New()}, err
}

// write writes a frame.
func (w *streamWriter) write(f frame) error {
	w.end.Base += len(f.Base)
	w.end.Changes += len(f.Changes)
	content, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	if len(content) > maxFrameBytes {
		return fmt.Errorf("backup: a frame of %d bytes", len(content))
	}
	content = w.compressor.EncodeAll(content, nil)
	header := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(content))
	if _, err := w.out.Write(header); err != nil {
		return err
	}
	_, _ = w.sums.Write(header) // never fails
	_, err = w.out.Write(content)
	return err
}

// close writes the end of the stream and returns it.
func (w *streamWriter) close(revision wire.Revision, at wire.UnixMillis) (End, error) {
	w.end.Revision, w.end.At, w.end.Sum = revision, at, w.sums.Sum64()
	return w.end, w.write(frame{End: &w.end})
}

// read calls visit for every frame of a stream but the last and returns its end. The error is a
// *DamagedError where the stream is not complete, or that of visit.
func read(in io.Reader, visit func(frame) error) (End, error) {
	decompressor, err := zstd.NewReader(
		nil,
		zstd.WithDecoderMaxMemory(maxFrameBytes),
		zstd.WithDecoderConcurrency(1),
	)
	if err != nil {
		return End{}, err
	}
	defer decompressor.Close()
	r := &streamReader{in: bufio.NewReader(in), decompressor: decompressor, sums: xxhash.New()}
	if err := r.readMagic(); err != nil {
		return End{}, err
	}
	for {
		f, err := r.next()
		if err != nil {
			return End{}, err
		}
		if f.End != nil {
			if err := r.expectEOF(); err != nil {
				return End{}, err
			}
			return *f.End, nil
		}
		if err := visit(f); err != nil {
			return End{}, err
		}
	}
}

// streamReader reads frames and checks them.
type streamReader struct {
	in           *bufio.Reader
	decompressor *zstd.Decoder

	offset int64 // of the frame that is being read, in bytes
	size   int64 // of the frame that was read last, in bytes

	// What the end must tell: the checksum over the headers, and the counts, of all frames so far.
	sums          *xxhash.Digest
	base, changes int
}

// damaged returns a *DamagedError for the frame that is being read.
func (r *streamReader) damaged(format string, args ...any) error {
	return &DamagedError{r.offset, fmt.Sprintf(format, args...)}
}

// readMagic reads the head of a stream.
func (r *streamReader) readMagic() error {
	var head [len(magic)]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil || head != magic {
		return r.damaged("this is no export, or one of another version")
	}
	r.size = int64(len(magic))
	return nil
}

// next reads a frame. An end is checked against the frames before it.
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
	if f.End != nil {
		if f.End.Sum != r.sums.Sum64() || f.End.Base != r.base || f.End.Changes != r.changes {
			return frame{}, r.damaged("frames are missing or out of order before the end")
		}
		return f, nil
	}
	_, _ = r.sums.Write(header[:]) // never fails
	r.base += len(f.Base)
	r.changes += len(f.Changes)
	return f, nil
}

// readContent reads a frame's header and its compressed content, and checks the content.
func (r *streamReader) readContent(header *[headerBytes]byte) ([]byte, error) {
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, r.damaged("it is cut off")
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameBytes {
		return nil, r.damaged("a frame of %d bytes", n)
	}
	content := make([]byte, n)
	if _, err := io.ReadFull(r.in, content); err != nil {
		return nil, r.damaged("it is cut off")
	}
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(header[4:]) {
		return nil, r.damaged("the checksum is not right")
	}
	r.size = headerBytes + int64(n)
	return content, nil
}

// expectEOF checks that nothing follows the end.
func (r *streamReader) expectEOF() error {
	r.offset += r.size
	if _, err := r.in.ReadByte(); !errors.Is(err, io.EOF) {
		return r.damaged("something follows the end")
	}
	return nil
}
