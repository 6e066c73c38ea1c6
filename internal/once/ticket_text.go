package once

import (
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	textPrefix    = "t1." // holds the version of the text form
	maxTextBytes  = 256
	checksumBytes = 4
)

var textEncoding = base64.RawURLEncoding.Strict()

// String returns the text form: "t1." and the base64url encoding of the fields
// and a 32-bit checksum.
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

// checksum covers the text prefix too, so that a ticket of another version does
// not pass as one of this version.
func checksum(fields []byte) uint32 {
	return uint32(xxhash.Sum64(append([]byte(textPrefix), fields...)))
}

// Parse decodes the text form of a ticket. It returns an *InvalidError for any
// other text.
func Parse(text string) (Ticket, error) {
	if len(text) > maxTextBytes {
		return Ticket{}, newInvalidError("text is longer than 256 bytes")
	}
	encoded, ok := strings.CutPrefix(text, textPrefix)
	if !ok {
		return Ticket{}, newInvalidError("text does not begin with \"" + textPrefix + "\"")
	}
	buf, err := textEncoding.DecodeString(encoded)
	if err != nil || len(buf) <= checksumBytes {
		return Ticket{}, newInvalidError("text after the prefix is not the base64url form of a ticket")
	}
	fields, sum := buf[:len(buf)-checksumBytes], buf[len(buf)-checksumBytes:]
	if binary.BigEndian.Uint32(sum) != checksum(fields) {
		return Ticket{}, newInvalidError("checksum does not match")
	}
	r := fieldReader{buf: fields}
	t := Ticket{DataCentre: r.text(), Addr: r.text(), Incarnation: r.uvarint(), Seq: r.uvarint()}
	// Comparing with the canonical text refuses other texts of the same ticket,
	// such as one with padded numbers.
	if r.failed || len(r.buf) != 0 || t.String() != text {
		return Ticket{}, newInvalidError("fields are malformed or not in canonical form")
	}
	return t, nil
}

func newInvalidError(reason string) error { return errors.WithStack(&InvalidError{Reason: reason}) }

// fieldReader decodes consecutive fields from buf. failed is set at the first
// malformed field; later fields then read as zero.
type fieldReader struct {
	buf    []byte
	failed bool
}

func (r *fieldReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *fieldReader) text() string {
	n := r.uvarint()
	if r.failed || n == 0 || n > maxNameBytes || n > uint64(len(r.buf)) {
		r.failed = true
		return ""
	}
	out := string(r.buf[:n])
	r.buf = r.buf[n:]
	return out
}
