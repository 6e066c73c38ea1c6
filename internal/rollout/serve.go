package rollout

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

const (
	// maxReplyBytes bounds the compressed documents in one reply, unless a single
	// document is larger. The requesting host asks again for the rest.
	maxReplyBytes = 1 << 20
	// maxDecompressedBytes bounds a received manifest or document. The store
	// accepts values of at most 1 MB.
	maxDecompressedBytes = 2 << 20
)

// HandleFetch answers a request of another host with the manifest in force, if
// its version is higher than HaveVersion, and with the requested documents that
// this host has. Both are compressed.
func (a *Agent) HandleFetch(_ context.Context, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	reply := &peerpb.FetchConfigReply{}
	current := a.current.Load()
	if current == nil {
		return reply, nil
	}
	if current.version() > req.HaveVersion {
		body, err := json.Marshal(current.manifest)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if reply.Manifest, err = compress(body); err != nil {
			return nil, err
		}
	}
	size := 0
	for _, hash := range req.Hashes {
		body, ok := current.document(hash)
		if !ok {
			continue
		}
		compressed, err := compress(body)
		if err != nil {
			return nil, err
		}
		if size += len(compressed); size > maxReplyBytes && len(reply.Documents) > 0 {
			break
		}
		reply.Documents = append(reply.Documents, &peerpb.Document{Hash: hash, Body: compressed})
	}
	return reply, nil
}

// compress returns body in DEFLATE format.
func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), nil
}

// decompress reverses compress. It fails with *BodyTooLongError when the result
// would exceed maxDecompressedBytes.
func decompress(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(out) > maxDecompressedBytes {
		return nil, errors.WithStack(&BodyTooLongError{LimitBytes: maxDecompressedBytes})
	}
	return out, nil
}

func decompressManifest(body []byte, addr string) (release.Manifest, error) {
	text, err := decompress(body)
	if err != nil {
		return release.Manifest{}, errors.WithStack(&BadManifestError{Source: addr, Err: err})
	}
	return decodeManifest(text, addr)
}

func decompressDocument(d *peerpb.Document) ([]byte, error) {
	body, err := decompress(d.Body)
	if err != nil || release.Hash(body) != d.Hash {
		return nil, errors.WithStack(&BadDocumentError{Hash: d.Hash})
	}
	return body, nil
}
