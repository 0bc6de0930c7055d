package plugin

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"maddermill/wire"
)

// HashOf names a module.
func HashOf(code []byte) wire.ModuleHash {
	sum := sha256.Sum256(code)
	return wire.ModuleHash(hex.EncodeToString(sum[:]))
}

// MostCode bounds a module.
const MostCode = 32 << 20

// Errors of modules that are not what they are said to be.
var (
	ErrDamaged  = errors.New("plugin: the module is not what its hash says")
	ErrUnsigned = errors.New("plugin: not signed by a key of the operators")
)

// Pack compresses a module and cuts it into pieces.
func Pack(code []byte, pieceBytes int) ([][]byte, error) {
	if len(code) > MostCode {
		return nil, fmt.Errorf("plugin: a module of %d bytes, %d at the most", len(code), MostCode)
	}
	z, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression))
	if err != nil {
		return nil, err
	}
	b := z.EncodeAll(code, nil)
	var out [][]byte
	for len(b) > 0 {
		n := min(len(b), pieceBytes)
		out, b = append(out, b[:n]), b[n:]
	}
	return out, nil
}

// Unpack puts a module together and checks it against its hash.
func Unpack(pieces [][]byte, want wire.ModuleHash) ([]byte, error) {
	var b []byte
	for _, p := range pieces {
		b = append(b, p...)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MostCode), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	code, err := z.DecodeAll(b, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if HashOf(code) != want {
		return nil, ErrDamaged
	}
	return code, nil
}

// signed is what a signature is made over: a module can't pass for another kind of thing.
func signed(h wire.ModuleHash) []byte { return []byte("maddermill module " + string(h)) }

// Sign signs a module.
func Sign(key ed25519.PrivateKey, h wire.ModuleHash) []byte { return ed25519.Sign(key, signed(h)) }

// Verify checks a module's signature against the operators' keys; without any, all pass.
func Verify(keys []ed25519.PublicKey, h wire.ModuleHash, signature []byte) error {
	for _, k := range keys {
		if ed25519.Verify(k, signed(h), signature) {
			return nil
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return ErrUnsigned
}
