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
	// maxReplyBytes bounds the documents in one reply; the caller asks again
	// for the rest.
	maxReplyBytes = 1 << 20
	// maxUnpackedBytes bounds a received manifest or document. The store's
	// values are at most 1 MB.
	maxUnpackedBytes = 2 << 20
)

// HandleFetch answers another host: the manifest in force if it is newer than
// the caller's, and the wanted documents that this host has, both compressed.
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
		if reply.Manifest, err = pack(body); err != nil {
			return nil, err
		}
	}
	size := 0
	for _, hash := range req.Hashes {
		body, ok := current.document(hash)
		if !ok {
			continue
		}
		packed, err := pack(body)
		if err != nil {
			return nil, err
		}
		if size += len(packed); size > maxReplyBytes && len(reply.Documents) > 0 {
			break
		}
		reply.Documents = append(reply.Documents, &peerpb.Document{Hash: hash, Body: packed})
	}
	return reply, nil
}

func pack(body []byte) ([]byte, error) {
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

func unpack(body []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(out) > maxUnpackedBytes {
		return nil, errors.WithStack(&TooLongError{Bytes: maxUnpackedBytes})
	}
	return out, nil
}

func unpackManifest(body []byte, addr string) (release.Manifest, error) {
	text, err := unpack(body)
	if err != nil {
		return release.Manifest{}, errors.WithStack(&BadManifestError{Source: addr, Err: err})
	}
	return decodeManifest(text, addr)
}

func unpackDocument(d *peerpb.Document) ([]byte, error) {
	body, err := unpack(d.Body)
	if err != nil || release.Hash(body) != d.Hash {
		return nil, errors.WithStack(&BadDocumentError{Hash: d.Hash})
	}
	return body, nil
}
