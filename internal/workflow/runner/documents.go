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

	"maddermill/internal/exactjson"
	"maddermill/internal/server"
	"maddermill/internal/state/kvstore"
	"maddermill/internal/state/ledger"
	"maddermill/internal/workflow"
	"maddermill/wire"
)

// Limits of a workflow's documents.
const (
	maxChunks        = 26 * 26 // ledger.DocumentKey numbers chunks with two letters
	maxDocumentBytes = 8 << 20 // uncompressed
	readTimeout      = 5 * time.Second
)

// writeChunks writes the chunks of packed documents under their hash, which makes repeated writes idempotent.
func (r *Runner) writeChunks(ctx context.Context, hash string, chunks []string) error {
	limits := ledger.Limits{TxnOps: r.settings.StateLimits().TxnOps, TxnBytes: kvstore.MaxTxnBytes}
	batch := ledger.Batch{Limits: limits, Commit: func(changes []wire.Change) error {
		_, err := r.keyValues.Commit(ctx, wire.Txn{Then: changes})
		return err
	}}
	for n, chunk := range chunks {
		v, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		if err := batch.Put(ledger.DocumentKey(hash, n), v); err != nil {
			return err
		}
	}
	return batch.Flush()
}

// pack compresses documents and returns the hash of the result and its base64 chunks, each of which fits in
// one value of the state service.
func (r *Runner) pack(docs *workflow.Documents) (hash string, chunks []string, err error) {
	encoded, err := json.Marshal(docs)
	if err != nil {
		return "", nil, err
	}
	var packed bytes.Buffer
	compressor := gzip.NewWriter(&packed)
	if _, err := compressor.Write(encoded); err != nil {
		return "", nil, err
	}
	if err := compressor.Close(); err != nil {
		return "", nil, err
	}
	sum := sha256.Sum256(packed.Bytes())
	// Base64 encodes 3 bytes as 4. The 64 bytes are headroom for the JSON string.
	chunkBytes := (r.settings.StateLimits().ValueBytes - 64) / 4 * 3
	for chunk := range slices.Chunk(packed.Bytes(), chunkBytes) {
		chunks = append(chunks, base64.StdEncoding.EncodeToString(chunk))
	}
	if len(chunks) > maxChunks {
		return "", nil, fmt.Errorf("%w: its documents are too large", server.ErrUnschedulable)
	}
	return hex.EncodeToString(sum[:]), chunks, nil
}

// documents reads a workflow's documents from their chunks and verifies their hash.
func (r *Runner) documents(ctx context.Context, w *ledger.Workflow) (*workflow.Documents, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var packed []byte
	for n := range w.Pieces {
		item, err := r.keyValues.Get(ctx, ledger.DocumentKey(w.Hash, n))
		if err != nil {
			return nil, err
		}
		var text string
		if err := exactjson.Unmarshal(item.Value, &text); err != nil {
			return nil, err
		}
		chunk, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, err
		}
		packed = append(packed, chunk...)
	}
	if sum := sha256.Sum256(packed); hex.EncodeToString(sum[:]) != w.Hash {
		return nil, fmt.Errorf("documents of workflow %s do not match their hash", w.ID)
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	encoded, err := io.ReadAll(io.LimitReader(decompressor, maxDocumentBytes))
	if err != nil {
		return nil, err
	}
	docs := new(workflow.Documents)
	return docs, exactjson.Unmarshal(encoded, docs)
}
