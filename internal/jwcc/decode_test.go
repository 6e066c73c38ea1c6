package jwcc

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"
)

type testDocument struct {
	Name  string            `json:"name"`
	Wait  Duration          `json:"wait"`
	Slots uint8             `json:"slots"`
	Share float64           `json:"share"`
	On    bool              `json:"on"`
	List  []testDocument    `json:"list"`
	Delay map[string]uint32 `json:"delay"`
}

// decodeProblems returns the problems that Decode reports for a testDocument.
func decodeProblems(t *testing.T, body string) []string {
	t.Helper()
	var found *Error
	var out []string
	if err := Decode("f.json", []byte(body), &testDocument{}); errors.As(err, &found) {
		for _, p := range found.Problems {
			out = append(out, p.String())
		}
	}
	return out
}

// Guards against comments and trailing commas that change the decoded value, and
// against comment marks inside strings that are taken for comments.
func TestDecodeReadsCommentsAndTrailingCommas(t *testing.T) {
	g := gomega.NewWithT(t)
	var got testDocument
	body := "{ // one\n \"name\": \"a//b[\", /* two */ \"wait\": \"6ms\",\n\"list\": [{\"slots\": 255,},],\"delay\":{\"thatta\":5},}"
	g.Expect(Decode("f.json", []byte(body), &got)).To(gomega.Succeed())
	g.Expect(got).To(gomega.Equal(testDocument{
		Name: "a//b[", Wait: Duration(6 * time.Millisecond), List: []testDocument{{Slots: 255}}, Delay: map[string]uint32{"thatta": 5},
	}))
}

// Guards against faults that are accepted silently, or reported without their
// position and without what is allowed.
func TestDecodeReportsEveryProblemWithItsPosition(t *testing.T) {
	g := gomega.NewWithT(t)
	body := "{\n\"nmae\": 1,\n\"wait\": 6,\n\"list\": [{\"slots\": 256}, {\"share\": \"x\"}],\n\"on\": null, \"name\": \"a\",\n \"name\": \"b\"}"
	g.Expect(decodeProblems(t, body)).To(gomega.HaveExactElements(
		"f.json:2:1: nmae: unknown key; allowed are name, wait, slots, share, on, list, delay",
		gomega.HavePrefix("f.json:3:9: wait: \"6\" is not a duration; allowed is"),
		"f.json:4:20: list[0].slots: found 256; allowed is a whole number from 0 to 255",
		"f.json:4:36: list[1].share: found \"x\"; allowed is a number",
		"f.json:5:7: on: found null; allowed is true or false",
		"f.json:6:2: name: duplicate key; allowed is one, and the first is on line 5",
	))
	g.Expect(decodeProblems(t, "{\n  \"name\" 1}")).To(gomega.HaveExactElements(gomega.HavePrefix("f.json:2:10: syntax error: ")))
}

// Guards against a stack overflow in the parser, which would crash the process,
// and against brackets in strings and comments that count as nesting.
func TestDecodeRefusesDeepNesting(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(decodeProblems(t, strings.Repeat("[", 10_000_000))).To(gomega.Equal([]string{"f.json:1:65: nested too deeply; allowed are 64 levels"}))
	afterSiblings := "[" + strings.Repeat("[],", 100) + strings.Repeat("[", 64)
	g.Expect(decodeProblems(t, afterSiblings)).To(gomega.HaveExactElements(gomega.HaveSuffix("nested too deeply; allowed are 64 levels")))
	inText := `{"name": "` + strings.Repeat("[", 100) + `\"{"} // ` + strings.Repeat("[", 100)
	g.Expect(decodeProblems(t, inText)).To(gomega.BeEmpty())
}

// Guards against panics, and against decoded values that differ from those of
// encoding/json.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"name":"\ud800","wait":"1h"}`, "{\"list\":[{\"on\":true,}],}//", `{"delay":{"a":1,"a":2}}`,
		`{"share":1e400}`, `{"slots":-1}`, `[[[`, `{"list":null}`, `/*`, `"`, `{"wait":"x`, "{\"a\":\n\x00}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var got, want testDocument
		if Decode("f.json", body, &got) != nil {
			return
		}
		plain, err := hujson.Standardize(append(append([]byte(nil), body...), '\n'))
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(plain, &want); err != nil {
			t.Fatalf("%s: accepted, but encoding/json reports %v", plain, err)
		}
		gomega.NewWithT(t).Expect(got).To(gomega.BeComparableTo(want))
	})
}
