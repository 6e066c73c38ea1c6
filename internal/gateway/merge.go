package gateway

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder at the end of
// a part is ignored.
const RecordSize = 16

// greatestRecords returns the greatest records of all parts, limit at most, in
// descending byte order. Equal records are all kept.
func greatestRecords(parts [][]byte, limit int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordSize {
			records = append(records, part[:RecordSize])
			part = part[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), max(limit, 0))]
	return bytes.Join(records, nil)
}
