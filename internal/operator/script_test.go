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

// Guards against exit codes, messages and repeated calls that differ from
// docs/gaugectl.md. Each script covers a group of commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fakehost": startFakeHost, "deadhost": closedPort, "exits": expectExit, "calls": expectCalls,
		},
	})
}

// Guards against commands, flags and exit codes that are missing from
// docs/gaugectl.md.
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

// fakeHost is an entry host that answers the calls of each "METHOD path" with the
// scripted replies in order, and repeats the last one.
type fakeHost struct {
	ts      *testscript.TestScript
	mu      sync.Mutex
	replies map[string][]fakeReply
	calls   map[string]int
}

type fakeReply struct {
	Status int             `json:"status"`
	Cut    bool            `json:"cut"`  // close the connection without sending an answer
	Hang   bool            `json:"hang"` // keep the connection open without sending an answer
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
		w.Header().Set("Location", r.URL.Path) // by default http.Client would follow it
	}
	if reply.Status != 0 {
		w.WriteHeader(reply.Status)
	}
	_, _ = w.Write([]byte(os.Expand(string(reply.Body), f.ts.Getenv)))
}

// startFakeHost implements the script command "fakehost NAME FILE". It starts a
// fake host with the replies in FILE and sets the variable NAME to its address.
func startFakeHost(ts *testscript.TestScript, _ bool, args []string) {
	f := &fakeHost{ts: ts, calls: map[string]int{}, replies: map[string][]fakeReply{}}
	ts.Check(jwcc.Decode(args[1], []byte(ts.ReadFile(args[1])), &f.replies))
	server := httptest.NewServer(f)
	ts.Defer(server.Close)
	ts.Setenv(args[0], strings.TrimPrefix(server.URL, "http://"))
	fakeHosts.Store(server.Listener.Addr().String(), f)
}

// fakeHosts holds the *fakeHost of every address.
var fakeHosts sync.Map

// closedPort implements the script command "deadhost NAME". It sets the variable
// NAME to an address that refuses connections.
func closedPort(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Check(l.Close())
	ts.Setenv(args[0], l.Addr().String())
}

// expectExit implements the script command "exits CODE COMMAND ARGS". It runs the
// command and fails the script unless the exit code is CODE.
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

// expectCalls implements the script command "calls NAME COUNT METHOD PATH". It
// fails the script unless the fake host NAME has received COUNT such calls.
func expectCalls(ts *testscript.TestScript, _ bool, args []string) {
	f, _ := fakeHosts.Load(ts.Getenv(args[0]))
	host := f.(*fakeHost)
	host.mu.Lock()
	defer host.mu.Unlock()
	if got := host.calls[args[2]+" "+args[3]]; strconv.Itoa(got) != args[1] {
		ts.Fatalf("%d calls of %s %s, want %s", got, args[2], args[3], args[1])
	}
}
