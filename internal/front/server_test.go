package front_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/arbutusgauge/arbutusgauge/internal/front"
	"github.com/arbutusgauge/arbutusgauge/internal/peer/peerpb"
)

// runningServer is a server that listens on a loopback port; runErr gets the
// result of Run.
type runningServer struct {
	*front.Server
	fakes  *fakes
	logs   *memory.Handler
	addr   string
	runErr chan error
	stop   context.CancelFunc
}

func startServer(t *testing.T, options ...func(*front.Options)) *runningServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	options = append([]func(*front.Options){func(o *front.Options) {
		o.Listener, o.DrainWait, o.StopTimeout = l, 200*time.Millisecond, 5*time.Second
	}}, options...)
	out := &runningServer{addr: l.Addr().String(), runErr: make(chan error, 1)}
	out.Server, out.fakes, out.logs = newFrontFor(hostA, unchanged, options...)
	ctx, cancel := context.WithCancel(context.Background())
	out.stop = cancel
	go func() { out.runErr <- out.Run(ctx) }()
	t.Cleanup(cancel)
	return out
}

// do makes one call on a connection of its own. closed reports that the response
// asks for the connection to be closed; status 0 means that no response came.
func (l *runningServer) do(method, path, body string) (status int, closed bool) {
	request, err := http.NewRequest(method, "http://"+l.addr+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, true
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Close
}

// Guards against a planned stop that cuts off requests, forwarded ones included:
// readiness must fail first, and requests must be served until the load balancer
// has taken notice.
func TestStopCutsOffNoRequest(t *testing.T) {
	RegisterTestingT(t)
	l := startServer(t)
	release := make(chan struct{})
	l.fakes.run = func(context.Context, front.Search) (*front.Answer, error) {
		<-release
		return &front.Answer{}, nil
	}
	results := make(chan int, 2)
	go func() { status, _ := l.do("POST", findPath, ``); results <- status }()
	go func() {
		ticket := issueTicket(l.Server)
		out, _ := l.HandleTicketed(context.Background(), &peerpb.TicketedRequest{
			Ticket: ticket, Body: []byte(bookingBody(ticket)), Service: "desk", Search: "book", TimeLeftUs: 5e6,
		})
		results <- int(out.Status)
	}()
	Eventually(l.OpenRequests).Should(BeEquivalentTo(2))
	status, closed := l.do("GET", "/ready", "")
	Expect([]any{status, closed}).To(Equal([]any{200, false}))
	l.stop()
	Eventually(l.Ready).Should(BeFalse())
	status, closed = l.do("GET", "/ready", "")
	Expect([]any{status, closed}).To(Equal([]any{503, true}))
	status, _ = l.do("POST", "/v1/tickets", `{"count": 1}`)
	Expect(status).To(Equal(200))
	Eventually(func() int { status, _ := l.do("GET", "/live", ""); return status }).Should(BeZero())
	Consistently(l.runErr, 50*time.Millisecond).ShouldNot(Receive())
	refused := call(l.Server, "POST", findPath, ``)
	Expect([]any{refused.Status, refused.Error, refused.Outcome}).To(Equal([]any{503, "stopping", "not_run"}))
	close(release)
	Expect([]int{<-results, <-results}).To(Equal([]int{200, 200}))
	Eventually(l.runErr).Should(Receive(BeNil()))
}

// Guards against requests that a stop cuts off without counting them.
func TestStopCountsRequestsThatItCutsOff(t *testing.T) {
	RegisterTestingT(t)
	scope := tally.NewTestScope("", nil)
	l := startServer(t, func(o *front.Options) { o.StopTimeout, o.Metrics = 100*time.Millisecond, scope })
	release := make(chan struct{})
	l.fakes.run = func(context.Context, front.Search) (*front.Answer, error) {
		<-release
		return &front.Answer{}, nil
	}
	done := make(chan struct{})
	go func() { defer close(done); l.do("POST", findPath, ``) }()
	Eventually(l.OpenRequests).Should(BeEquivalentTo(1))
	l.stop()
	var err error
	Eventually(l.runErr).Should(Receive(&err))
	var cutOff *front.CutOffError
	Expect(errors.As(err, &cutOff)).To(BeTrue())
	Expect(cutOff.Requests).To(BeEquivalentTo(1))
	Expect(scope.Snapshot().Counters()["requests_cut_off+"].Value()).To(BeEquivalentTo(1))
	close(release)
	<-done
	Eventually(l.OpenRequests).Should(BeZero())
}

// Guards against a deadline that leaves out the time in which a request is
// received, on a new connection and on one used before.
func TestDeadlineCountsFromArrival(t *testing.T) {
	RegisterTestingT(t)
	l := startServer(t)
	c, err := net.Dial("tcp", l.addr)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	for i := range 2 {
		time.Sleep(300 * time.Millisecond) // idle time before the request, which must not count
		began := time.Now()
		_, err = c.Write([]byte("POST " + findPath + " HTTP/1.1\r\nHost: x\r\n"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(200 * time.Millisecond)
		_, err = c.Write([]byte("Content-Length: 0\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(answers, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(200))
		_ = response.Body.Close()
		deadline := l.fakes.searches[i].Deadline
		Expect(deadline).To(BeTemporally("~", began.Add(500*time.Millisecond), 100*time.Millisecond))
	}
}

// Guards against a Run that goes on without an error after its listener failed.
func TestRunReportsListenerFaults(t *testing.T) {
	RegisterTestingT(t)
	l := startServer(t, func(o *front.Options) { _ = o.Listener.Close() })
	var err error
	Eventually(l.runErr).Should(Receive(&err))
	Expect(err).To(MatchError(ContainSubstring("listener")))
}

func TestNewNamesMissingOption(t *testing.T) {
	RegisterTestingT(t)
	_, err := front.New(front.Options{Incarnation: 1})
	var optionErr *front.OptionError
	Expect(errors.As(err, &optionErr)).To(BeTrue())
	Expect(optionErr.Option).To(Equal("Engine"))
}
