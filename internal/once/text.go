package once

import (
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	textPrefix    = "t1." // version of the text form
	maxTextBytes  = 256
	checksumBytes = 4
)

var textEncoding = base64.RawURLEncoding.Strict()

// String returns the text form: "t1." and the base64url form of the fields and
// a checksum of 32 bits.
func (t Ticket) String() string {
	buf := binary.AppendUvarint(nil, uint64(len(t.DataCentre)))
	buf = append(buf, t.DataCentre...)
	buf = binary.AppendUvarint(buf, uint64(len(t.Addr)))
	buf = append(buf, t.Addr...)
	buf = binary.AppendUvarint(buf, t.Incarnation)
	buf = binary.AppendUvarint(buf, t.Seq)
	buf = binary.BigEndian.AppendUint32(buf, checksum(buf))
	return textPrefix + textEncoding.EncodeToString(buf)
}

// checksum covers the version too, so that a later form can't be mistaken for
// this one.
func checksum(fields []byte) uint32 {
	return uint32(xxhash.Sum64(append([]byte(textPrefix), fields...)))
}

// Parse reads the text form. *InvalidError reports any other text.
func Parse(text string) (Ticket, error) {
	if len(text) > maxTextBytes {
		return Ticket{}, invalid("text is longer than 256 bytes")
	}
	encoded, ok := strings.CutPrefix(text, textPrefix)
	if !ok {
		return Ticket{}, invalid("text does not begin with \"" + textPrefix + "\"")
	}
	buf, err := textEncoding.DecodeString(encoded)
	if err != nil || len(buf) <= checksumBytes {
		return Ticket{}, invalid("text is not base64url of a ticket")
	}
	fields, sum := buf[:len(buf)-checksumBytes], buf[len(buf)-checksumBytes:]
	if binary.BigEndian.Uint32(sum) != checksum(fields) {
		return Ticket{}, invalid("checksum does not match")
	}
	r := reader{buf: fields}
	t := Ticket{DataCentre: r.text(), Addr: r.text(), Incarnation: r.number(), Seq: r.number()}
	// A second text for the same ticket, such as one with padded numbers, is
	// refused by comparison with the canonical one.
	if r.failed || len(r.buf) != 0 || t.String() != text {
		return Ticket{}, invalid("fields are malformed")
	}
	return t, nil
}

func invalid(reason string) error { return errors.WithStack(&InvalidError{Reason: reason}) }

// reader takes fields off a buffer; failed is set at the first malformed one.
type reader struct {
	buf    []byte
	failed bool
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.buf)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if r.failed || n == 0 || n > maxNameBytes || n > uint64(len(r.buf)) {
		r.failed = true
		return ""
	}
	out := string(r.buf[:n])
	r.buf = r.buf[n:]
	return out
}
