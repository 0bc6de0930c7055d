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

// HashOf returns the SHA-256 hash that identifies a module.
func HashOf(code []byte) wire.ModuleHash {
	sum := sha256.Sum256(code)
	return wire.ModuleHash(hex.EncodeToString(sum[:]))
}

// MaxModuleBytes is the maximum size of a module's uncompressed code.
const MaxModuleBytes = 32 << 20

// Errors of modules whose integrity or origin can't be verified.
var (
	ErrCorrupt  = errors.New("plugin: the code does not match the module's hash")
	ErrUnsigned = errors.New("plugin: not signed by any of the configured public keys")
)

// Pack compresses a module with zstd and splits it into pieces of at most pieceBytes.
func Pack(code []byte, pieceBytes int) ([][]byte, error) {
	if len(code) > MaxModuleBytes {
		return nil, fmt.Errorf("plugin: the module has %d bytes, more than the maximum of %d", len(code), MaxModuleBytes)
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

// Unpack joins and decompresses a module's pieces. It returns ErrCorrupt unless the code has the
// hash want.
func Unpack(pieces [][]byte, want wire.ModuleHash) ([]byte, error) {
	var b []byte
	for _, p := range pieces {
		b = append(b, p...)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxModuleBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	code, err := z.DecodeAll(b, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if HashOf(code) != want {
		return nil, ErrCorrupt
	}
	return code, nil
}

// message returns the message that a module's signature covers. Its prefix keeps a signature
// from being valid for anything but a module (domain separation).
func message(h wire.ModuleHash) []byte { return []byte("maddermill module " + string(h)) }

// Sign returns the Ed25519 signature of a module.
func Sign(key ed25519.PrivateKey, h wire.ModuleHash) []byte { return ed25519.Sign(key, message(h)) }

// Verify checks that a module is signed by one of the operators' keys. Without keys, every module
// is accepted.
func Verify(keys []ed25519.PublicKey, h wire.ModuleHash, signature []byte) error {
	for _, k := range keys {
		if ed25519.Verify(k, message(h), signature) {
			return nil
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return ErrUnsigned
}
