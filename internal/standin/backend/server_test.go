package backend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/arbutusgauge/arbutusgauge/internal/backend/httpjson"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startFleet starts a fleet of one replica with an execution time of 20 ms; change,
// unless nil, edits its options.
func startFleet(t *testing.T, change func(*Options)) *Fleet {
	options := Options{
		Listen: "127.0.0.1:0", Service: "payroll-desk", Range: wire.LedgerRange{Lo: 0, Hi: 10}, Oldest: 2, Newest: 4,
		ServiceTime: ServiceTime{Median: jwcc.Duration(20 * time.Millisecond), Tail: jwcc.Duration(20 * time.Millisecond)},
	}
	if change != nil {
		change(&options)
	}
	f, err := StartFleet([]Options{options})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// sendSubRequest sends one sub-request on a new connection and returns the decoded
// answer.
func sendSubRequest(t *testing.T, s *Server, sub httpjson.SubForm) (httpjson.RepliesForm, error) {
	body, _ := json.Marshal(httpjson.BatchForm{Subs: []httpjson.SubForm{sub}})
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	var answer httpjson.RepliesForm
	response, err := client.Post("http://"+string(s.Addr())+httpjson.PathSubrequests, "application/json", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// subRequest returns a valid sub-request for two ledgers, with one second left.
func subRequest(seq uint64) httpjson.SubForm {
	return httpjson.SubForm{
		ID: httpjson.IDForm{Host: 1, Seq: seq}, Service: "payroll-desk", Range: wire.LedgerRange{Lo: 2, Hi: 4}, TimeLeftUS: 1e6,
	}
}

// Guards against a replica that runs more sub-requests at a time than it has slots,
// or that records refused sub-requests as executed.
func TestSlotLimitAndRecordedExecutions(t *testing.T) {
	g := NewWithT(t)
	s := startFleet(t, nil).Servers()[0]
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i := range 6 {
		wait.Go(func() {
			answer, err := sendSubRequest(t, s, subRequest(uint64(i)))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				outcomes[answer.Replies[0].Outcome+answer.Replies[0].Reason]++
			}
		})
	}
	wait.Wait()
	_, highest := s.Usage()
	g.Expect(highest).To(BeEquivalentTo(2))
	g.Expect(outcomes["answered"] + outcomes["not_runshed"]).To(Equal(6))
	executions, total := s.Executions(0, 0)
	g.Expect(total).To(BeEquivalentTo(outcomes["answered"]))
	g.Expect(executions).To(HaveEach(And(HaveField("Stopped", false), HaveField("End", Not(BeZero())))))
}

// Guards against faults that are accepted but have no effect, which would make the
// tests that rely on them pass for the wrong reason.
func TestFaultsTakeEffect(t *testing.T) {
	g := NewWithT(t)
	s := startFleet(t, nil).Servers()[0]
	sendWithFaults := func(faults Faults) httpjson.ReplyForm {
		g.Expect(s.SetFaults(faults)).To(Succeed())
		answer, err := sendSubRequest(t, s, subRequest(1))
		g.Expect(err).NotTo(HaveOccurred())
		return answer.Replies[0]
	}
	g.Expect(sendWithFaults(Faults{Shed: 1}).Outcome).To(Equal("not_run"))
	g.Expect(sendWithFaults(Faults{WrongSnapshot: 1}).Snapshot).To(BeEquivalentTo(3))
	g.Expect(sendWithFaults(Faults{SplitRange: 1}).Range).To(Equal(wire.LedgerRange{Lo: 2, Hi: 3}))
	g.Expect(sendWithFaults(Faults{}).Rows).To(HaveLen(2))
	begin := time.Now()
	sendWithFaults(Faults{SlowFactor: 3})
	g.Expect(time.Since(begin)).To(BeNumerically(">=", 60*time.Millisecond))

	s.SetDraining(true)
	g.Expect(sendWithFaults(Faults{}).Reason).To(Equal("draining"))
	g.Expect(s.SetFaults(Faults{StatusLag: jwcc.Duration(time.Minute)})).To(Succeed())
	g.Expect(s.reportedStatus().State).To(Equal(httpjson.StateReady))
	g.Expect(s.SetFaults(Faults{})).To(Succeed())
	g.Expect(s.reportedStatus().State).To(Equal(httpjson.StateDraining))
	s.SetDraining(false)
	shortDeadline := subRequest(9)
	shortDeadline.TimeLeftUS = 5000
	answer, err := sendSubRequest(t, s, shortDeadline)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Replies[0]).To(And(HaveField("Outcome", "unknown"), HaveField("Reason", "timeout")))
}

// Guards against a connection limit or a connection cost that has no effect.
func TestConnectionLimitAndCost(t *testing.T) {
	g := NewWithT(t)
	s := startFleet(t, func(o *Options) { o.MaxConnections = 1; o.ConnectCost = jwcc.Duration(50 * time.Millisecond) }).Servers()[0]
	begin := time.Now()
	_, err := sendSubRequest(t, s, subRequest(1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Since(begin)).To(BeNumerically(">=", 70*time.Millisecond))
	g.Eventually(s.Connections).Should(BeZero())
	firstResult := make(chan error, 1)
	go func() { _, err := sendSubRequest(t, s, subRequest(2)); firstResult <- err }()
	g.Eventually(s.Connections).Should(Equal(1))
	_, err = sendSubRequest(t, s, subRequest(3))
	g.Expect(err).To(HaveOccurred())
	g.Expect(<-firstResult).To(Succeed())
}

// Guards against admin calls that report success without effect, and against
// unknown keys or replicas that are accepted.
func TestAdminCalls(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, nil)
	s := f.Servers()[0]
	call := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		f.AdminHandler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	code, _ := call("PUT", "/v1/replicas/all/held?service=payroll-desk", `{"oldest":7,"newest":8}`)
	g.Expect(code).To(Equal(http.StatusOK))
	code, _ = call("PUT", "/v1/replicas/"+string(s.Addr())+"/drain", `{"draining":true}`)
	g.Expect(code).To(Equal(http.StatusOK))
	code, body := call("GET", "/v1/replicas", "")
	g.Expect(code).To(Equal(http.StatusOK))
	g.Expect(body).To(And(ContainSubstring(`"oldest":7`), ContainSubstring(`"state":"draining"`)))
	code, _ = call("PUT", "/v1/replicas/all/faults", `{"shedd":1}`)
	g.Expect(code).To(Equal(http.StatusBadRequest))
	code, _ = call("POST", "/v1/replicas/all/silence?service=other", "")
	g.Expect(code).To(Equal(http.StatusNotFound))
	s.SetDraining(false)
	_, err := sendSubRequest(t, s, subRequest(5))
	g.Expect(err).NotTo(HaveOccurred())
	code, body = call("GET", "/v1/replicas/all/executions?not_repeatable=true", "")
	g.Expect(code).To(Equal(http.StatusOK))
	g.Expect(body).To(And(ContainSubstring(`"total":1`), ContainSubstring(`"seq":5`)))
}

// Guards against replicas of a release note that are served with options other than
// the note's, or outside the selected services and data centre, and against unknown
// keys in an options file.
func TestParseNoteAndOptionsFile(t *testing.T) {
	g := NewWithT(t)
	note := []byte(`{"id": "n-1", "services": {"added": [ // first service
	  {"name": "payroll-desk", "slots": 2, "connections": 25, "connect_cost": "6ms", "shards": [
	    {"id": 4, "range": {"lo": 40, "hi": 50}, "replicas": [
	      {"addr": "127.0.0.1:1", "data_centre": "badin"}, {"addr": "127.0.0.1:2", "data_centre": "thatta"}]}]},
	  {"name": "other", "shards": [{"id": 0, "replicas": [{"addr": "127.0.0.1:3", "data_centre": "badin"}]}]}]}}`)
	options, err := ParseNote(note, Selection{Services: []string{"payroll-desk"}, DataCentre: "badin"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(options).To(HaveExactElements(And(
		HaveField("Listen", "127.0.0.1:1"), HaveField("Shard", uint32(4)), HaveField("Slots", uint32(2)),
		HaveField("ConnectCost", jwcc.Duration(6*time.Millisecond)), HaveField("Range", wire.LedgerRange{Lo: 40, Hi: 50}))))
	_, err = ParseOptionsFile([]byte(`{"replicas": [{"listn": "127.0.0.1:0"}]}`))
	g.Expect(err).To(MatchError(ContainSubstring("listn")))
}
