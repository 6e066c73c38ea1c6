package explain

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
)

// Path is the path of the call, with method POST and a request in JSON.
const Path = "/v1/explain"

// MaxRequestBytes limits the size of a request.
const MaxRequestBytes = 16 << 10

// Request is the request to explain. It holds the hash of the caller's key only.
type Request struct {
	Host, Path string
	Credential account.Credential
}

// DecodeRequest decodes {"host": …, "path": …, "key": …}, where the key may be absent. Its only
// error is *RequestError, which has no part of the text: the text may hold a key.
func DecodeRequest(text []byte) (*Request, error) {
	var body struct {
		Host string  `json:"host"`
		Path string  `json:"path"`
		Key  *string `json:"key"`
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&body) != nil {
		return nil, errors.WithStack(&RequestError{Problem: "it must be a JSON object with the texts host, path and, optionally, key"})
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.WithStack(&RequestError{Problem: "something follows the JSON object"})
	}
	switch {
	case body.Host == "":
		return nil, errors.WithStack(&RequestError{Problem: "host is missing"})
	case !strings.HasPrefix(body.Path, "/"):
		return nil, errors.WithStack(&RequestError{Problem: "path is missing or does not begin with a slash"})
	}
	path, _, _ := strings.Cut(body.Path, "?")
	return &Request{Host: body.Host, Path: path, Credential: credentialOf(body.Key)}, nil
}

// credentialOf returns the credential of a key; nil: the request has none. An empty key is
// present and matches no account, as in a caller's request.
func credentialOf(key *string) account.Credential {
	if key == nil {
		return account.Credential{}
	}
	if trimmed := strings.TrimSpace(*key); trimmed != "" {
		return account.Credential{Present: true, Hash: account.HashKey(trimmed)}
	}
	return account.Credential{Present: true}
}

// RequestError reports a request that can't be explained.
type RequestError struct{ Problem string }

// Error implements error.
func (e *RequestError) Error() string { return "request to explain: " + e.Problem }

// NotReadyError reports a host without a routing table.
type NotReadyError struct{}

// Error implements error.
func (*NotReadyError) Error() string { return "this host has no routing table yet" }
