package quota

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// validReport is a report with an account; malformed ones differ from it in one place.
const validReport = `{"host":"h","process":7,"sequence":1,"grantor":"g","leaders":["g"],"hold":1000000000,` +
	`"accounts":[{"name":"a","epoch":1,"rate_per_s":2,"burst":3,"used":1,"held":1,"waiting":2,"spare":1}]}`

// Guards against messages of another program that end the process, grant credits without
// end, or are taken although a part of them has another meaning.
func TestMalformedMessagesAreRefused(t *testing.T) {
	g := NewWithT(t)
	sent, err := decodeReport([]byte(validReport))
	g.Expect(err).NotTo(HaveOccurred())
	var malformed *MessageError
	for _, change := range [][2]string{
		{`{`, ``},
		{`"h"`, `""`},
		{`"grantor":"g"`, `"grantor":""`},
		{`["g"]`, `[]`},
		{`["g"]`, `[""]`},
		{`1000000000`, `0`},
		{`1000000000`, `99000000000`},
		{`"a"`, `""`},
		{`"rate_per_s":2`, `"rate_per_s":0`},
		{`"rate_per_s":2`, `"rate_per_s":1e13`},
		{`"burst":3`, `"burst":-1`},
		{`"held":1`, `"held":-1`},
		{`"waiting":2`, `"waiting":99999999`},
		{`"spare":1`, `"spare":-1`},
		{`"used":1`, `"used":9e15`},
		{`"used":1`, `"used":1.5`},
		{`"accounts":[`, `"accounts":[{"name":"a","rate_per_s":1},`},
	} {
		text := strings.Replace(validReport, change[0], change[1], 1)
		_, err := decodeReport([]byte(text))
		g.Expect(errors.As(err, &malformed)).To(BeTrue(), text)
	}
	for _, text := range []string{
		`x`, `{}`, `{"accounts":[{"granted":4}]}`, `{"accounts":[{"granted":-1}]}`, `{"accounts":[{"token_in":-1}]}`,
		`{"accounts":[{"retry_in":-1}]}`, `{"accounts":[{"gap":-1}]}`, `{"accounts":[{"gap":9000000000000000000}]}`,
	} {
		_, err := decodeAnswer([]byte(text), sent)
		g.Expect(errors.As(err, &malformed)).To(BeTrue(), text)
	}
}

// Guards against panics, and credits beyond what was asked for, on malformed messages of
// peers.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(validReport), []byte(`{"accounts":[{"granted":1,"retry_in":1000}]}`))
	f.Add([]byte(strings.Replace(validReport, `"held":1`, `"held":1,"refused":1048576`, 1)), []byte(`{"accounts":[{"gap":30000000000}]}`))
	f.Add([]byte(strings.Replace(validReport, `"hold"`, `"leaving":true,"hold"`, 1)), []byte(`{}`))
	f.Fuzz(func(t *testing.T, reportText, answerText []byte) {
		r, err := decodeReport(reportText)
		if err != nil {
			return
		}
		gr := newGrantor(func(a *accountReport) limit { return DefaultBounds.limit(a.RatePerSecond, a.Burst) })
		for i := range 3 {
			r.Sequence = uint64(i + 1)
			a, err := gr.handle(r, time.Duration(i)*time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(a)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decodeAnswer(text, r); err != nil {
				t.Fatalf("own answer refused: %v", err)
			}
		}
		if a, err := decodeAnswer(answerText, r); err == nil {
			for i := range a.Accounts {
				u := &use{}
				u.learn(&r.Accounts[i], &a.Accounts[i], 0, r.Hold, time.Second)
				if after := u.retryAfter(time.Second); after < 0 {
					t.Fatalf("retry after %s", after)
				}
			}
		}
	})
}
