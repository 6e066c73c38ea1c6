package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gaugectl": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Each script guards against an exit code, message or repeated call that
// differs from docs/gaugectl.md.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fakehost": startFakeHost, "deadhost": closedPort, "exits": expectExit, "calls": expectCalls,
		},
	})
}

// Guards against commands, flags and exit codes that docs/gaugectl.md does not
// describe.
func TestEveryCommandIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/gaugectl.md")
	if err != nil {
		t.Fatal(err)
	}
	app, _ := newApp(&Options{Stdout: io.Discard, Stderr: io.Discard})
	var want []string
	for _, command := range app.Model().Commands {
		if command.Name != "help" {
			want = append(want, "\n## "+command.Name+"\n")
		}
		for _, flag := range command.Flags {
			want = append(want, "`--"+flag.Name)
		}
	}
	for code := ExitOK; code <= ExitBelowCoverage; code++ {
		want = append(want, "\n| "+strconv.Itoa(int(code))+" |")
	}
	for _, text := range want {
		if !strings.Contains(string(page), text) {
			t.Errorf("docs/gaugectl.md lacks %q", text)
		}
	}
}

// fakeHost answers each "METHOD path" with its replies in order; the last one
// is repeated.
type fakeHost struct {
	ts      *testscript.TestScript
	mu      sync.Mutex
	replies map[string][]fakeReply
	calls   map[string]int
}

type fakeReply struct {
	Status int             `json:"status"`
	Cut    bool            `json:"cut"`  // close the connection without an answer
	Hang   bool            `json:"hang"` // keep the connection without an answer
	Body   json.RawMessage `json:"body"`
}

func (f *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := r.Method + " " + r.URL.Path
	replies := f.replies[key]
	if len(replies) == 0 {
		http.Error(w, "no reply is scripted for "+key, http.StatusTeapot)
		return
	}
	reply := replies[min(f.calls[key], len(replies)-1)]
	f.calls[key]++
	if reply.Hang {
		<-r.Context().Done()
	}
	if reply.Cut {
		panic(http.ErrAbortHandler)
	}
	if reply.Status == http.StatusTemporaryRedirect {
		w.Header().Set("Location", r.URL.Path) // http.Client would repeat the call
	}
	if reply.Status != 0 {
		w.WriteHeader(reply.Status)
	}
	_, _ = w.Write([]byte(os.Expand(string(reply.Body), f.ts.Getenv)))
}

// startFakeHost: fakehost NAME FILE sets NAME to the address of a new host.
func startFakeHost(ts *testscript.TestScript, _ bool, args []string) {
	f := &fakeHost{ts: ts, calls: map[string]int{}, replies: map[string][]fakeReply{}}
	ts.Check(jwcc.Decode(args[1], []byte(ts.ReadFile(args[1])), &f.replies))
	server := httptest.NewServer(f)
	ts.Defer(server.Close)
	ts.Setenv(args[0], strings.TrimPrefix(server.URL, "http://"))
	hosts.Store(server.Listener.Addr().String(), f)
}

var hosts sync.Map // address to *fakeHost

// closedPort: deadhost NAME sets NAME to an address that refuses connections.
func closedPort(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Check(l.Close())
	ts.Setenv(args[0], l.Addr().String())
}

// expectExit: exits CODE COMMAND ARGS runs a command.
func expectExit(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// expectCalls: calls NAME COUNT METHOD PATH.
func expectCalls(ts *testscript.TestScript, _ bool, args []string) {
	f, _ := hosts.Load(ts.Getenv(args[0]))
	host := f.(*fakeHost)
	host.mu.Lock()
	defer host.mu.Unlock()
	if got := host.calls[args[2]+" "+args[3]]; strconv.Itoa(got) != args[1] {
		ts.Fatalf("%d calls of %s %s, want %s", got, args[2], args[3], args[1])
	}
}
