package runner

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Bounds of a workflow's documents.
const (
	maxPieces        = 26 * 26
	maxDocumentBytes = 8 << 20 // unpacked
	readTimeout      = 5 * time.Second
)

// writePieces writes documents under their hash, so that writing them twice is idempotent.
func (r *Runner) writePieces(ctx context.Context, hash string, pieces []string) error {
	limits := ledger.Limits{TxnOps: r.settings.StateLimits().TxnOps, TxnBytes: kvstore.TxnBytes}
	batch := ledger.Batch{Limits: limits, Commit: func(changes []wire.Change) error {
		_, err := r.keyValues.Commit(ctx, wire.Txn{Then: changes})
		return err
	}}
	for n, p := range pieces {
		v, err := json.Marshal(p)
		if err != nil {
			return err
		}
		if err := batch.Put(ledger.DocumentKey(hash, n), v); err != nil {
			return err
		}
	}
	return batch.Flush()
}

// pack compresses documents and returns their hash and pieces that fit the values of the state service.
func (r *Runner) pack(docs *workflow.Documents) (hash string, pieces []string, err error) {
	b, err := json.Marshal(docs)
	if err != nil {
		return "", nil, err
	}
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	if _, err := z.Write(b); err != nil {
		return "", nil, err
	}
	if err := z.Close(); err != nil {
		return "", nil, err
	}
	sum := sha256.Sum256(packed.Bytes())
	size := (r.settings.StateLimits().ValueBytes - 64) / 4 * 3
	for part := range slices.Chunk(packed.Bytes(), size) {
		pieces = append(pieces, base64.StdEncoding.EncodeToString(part))
	}
	if len(pieces) > maxPieces {
		return "", nil, fmt.Errorf("%w: its documents are too large", server.ErrUnschedulable)
	}
	return hex.EncodeToString(sum[:]), pieces, nil
}

// documents reads a workflow's documents from their pieces and checks them against their hash.
func (r *Runner) documents(ctx context.Context, w *ledger.Workflow) (*workflow.Documents, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var packed []byte
	for n := range w.Pieces {
		it, err := r.keyValues.Get(ctx, ledger.DocumentKey(w.Hash, n))
		if err != nil {
			return nil, err
		}
		var text string
		if err := json.Unmarshal(it.Value, &text); err != nil {
			return nil, err
		}
		part, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, err
		}
		packed = append(packed, part...)
	}
	if sum := sha256.Sum256(packed); hex.EncodeToString(sum[:]) != w.Hash {
		return nil, fmt.Errorf("documents of %s are not what their hash says", w.ID)
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(z, maxDocumentBytes))
	if err != nil {
		return nil, err
	}
	docs := new(workflow.Documents)
	return docs, json.Unmarshal(b, docs)
}
