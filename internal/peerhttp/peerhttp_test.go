package peerhttp_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/peerhttp"
	"github.com/arbutusgauge/arbutusgauge/internal/readlimit"
)

var errRefused, errConflict = errors.New("refused"), errors.New("conflict")

// Guards against refusals that are taken for answers, messages and answers without a bound,
// and refusals that no log shows.
func TestMessagesBetweenHosts(t *testing.T) {
	g := NewWithT(t)
	lines := memory.New()
	server := httptest.NewServer(&peerhttp.Handler{
		What: "test message", MaxBytes: 10, Logger: &log.Logger{Handler: lines},
		Answer: func(message []byte) ([]byte, error) {
			switch string(message) {
			case "refuse":
				return nil, errRefused
			case "conflict":
				return nil, errConflict
			case "long":
				return []byte("an answer that is too long"), nil
			}
			return append([]byte("re: "), message...), nil
		},
		StatusOf: func(err error) int {
			if errors.Is(err, errConflict) {
				return http.StatusConflict
			}
			return http.StatusBadRequest
		},
	})
	defer server.Close()
	client := peerhttp.NewClient(time.Second, 20)
	post := func(message string) (string, error) {
		answer, err := client.Post(context.Background(), strings.TrimPrefix(server.URL, "http://"), "/v1/test", []byte(message))
		return string(answer), err
	}
	answer, err := post("hello")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal("re: hello"))

	for message, status := range map[string]string{"refuse": "400 Bad Request", "conflict": "409 Conflict", "more than ten": "400 Bad Request"} {
		_, err := post(message)
		var refused *peerhttp.StatusError
		g.Expect(errors.As(err, &refused)).To(BeTrue(), message)
		g.Expect(refused.Status).To(Equal(status), message)
	}
	_, err = post("long")
	var tooLong *readlimit.Error
	g.Expect(errors.As(err, &tooLong)).To(BeTrue())
	var logged []string
	for _, entry := range lines.Entries {
		logged = append(logged, entry.Message)
	}
	g.Expect(logged).To(ConsistOf("test message refused", "test message not read"))
}
