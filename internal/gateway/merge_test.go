package gateway

import (
	"bytes"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/arbutusgauge/arbutusgauge/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Parse()
	m.Run()
}

// Guards against a merged answer that does not hold the greatest records of its
// parts in descending order, with equal records as often as they occur.
func TestGreatestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Few byte values make equal records likely.
		part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 5*RecordSize+7)
		parts := rapid.SliceOfN(part, 0, 6).Draw(t, "parts")
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		var all []string
		for _, p := range parts {
			for i := 0; i+RecordSize <= len(p); i += RecordSize {
				all = append(all, string(p[i:i+RecordSize]))
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want bytes.Buffer
		for _, r := range all[:min(limit, len(all))] {
			want.WriteString(r)
		}
		if got := greatestRecords(parts, limit); !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("got %x, want %x", got, want.Bytes())
		}
	})
}

// Guards against a remainder of a part that is taken for a record.
func TestShortRemainderIsIgnored(t *testing.T) {
	part := bytes.Repeat([]byte{9}, RecordSize+15)
	NewWithT(t).Expect(greatestRecords([][]byte{part}, 10)).To(HaveLen(RecordSize))
}
