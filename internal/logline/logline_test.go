package logline

import (
	"strings"
	"testing"

	"github.com/apex/log"
	. "github.com/onsi/gomega"
)

// Guards against an event that spans several lines or can't be split into its
// key=value pairs.
func TestHandlerWritesOneLinePerEvent(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	logger := &log.Logger{Handler: New(&out), Level: log.InfoLevel}
	logger.WithFields(log.Fields{"cause": "line 1\nline \"2\"", "shard": 3, "empty": ""}).Info("replica ejected")
	g.Expect(out.String()).To(MatchRegexp(
		`^time=\S+ level=info event="replica ejected" cause="line 1\\nline \\"2\\"" empty="" shard=3\n$`))
}
