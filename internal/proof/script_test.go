package proof_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/arbutusgauge/arbutusgauge/internal/proof"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// Each file under testdata is one failure, told as a scenario. The commands:
//
//	hosts <name>...                      starts the installation
//	issue <request> at=<host>            gets a ticket for a new request
//	call <request> at=<host> [payload=<text>] [search=<name>] [deadline=<duration>]
//	     [ticket=none|garbled] [body=<text>] [lose_answer] [as=<name>]
//	                                     presents it; with "as" in the background
//	await <name>...                      waits for calls in the background
//	shard <number>...|all mode=<mode>    as proof.ShardMode
//	link <host> mode=<mode>              as proof.LinkMode
//	cut <data centre>                    separates it from the others
//	kill|start|restart|pause|resume|stop <host>
//	overload <host> [off]                admission refuses every search
//	configuration <host> none|withdrawn|full
//	sleep <duration>
//	ran <request>                        prints how often each shard ran it
//	heal                                 ends all faults
//
// A call prints its status, outcome and error code, or "no answer". Every file
// ends with a check of all promises by the oracle.
type script struct {
	sim        *proof.Sim
	requests   map[string]proof.Request
	background map[string]chan string
}

// Guards against each failure that the files under testdata describe.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{requests: map[string]proof.Request{}, background: map[string]chan string{}}
			defer func() { s.sim.Close() }() // a failed command ends the test here
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				out, err := s.run(d)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				return out + "\n"
			})
			for _, ended := range s.background {
				<-ended
			}
			for _, fault := range s.sim.Oracle.Faults() {
				t.Errorf("%s: %s", path, fault)
			}
		})
	})
}

func (s *script) run(d *datadriven.TestData) (string, error) {
	var names []string
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) == 0 {
			names = append(names, arg.Key)
		}
	}
	value := func(key string) string {
		if arg, ok := d.Arg(key); ok && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
		return ""
	}
	if d.Cmd == "hosts" {
		s.sim = proof.New(names...)
		return "ok", nil
	}
	if len(names) == 0 && d.Cmd != "heal" {
		return "", fmt.Errorf("%s needs an argument", d.Cmd)
	}
	switch d.Cmd {
	case "issue":
		tickets := s.sim.Issue(s.sim.Host(value("at")), 1)
		if len(tickets) == 0 {
			return "no answer", nil
		}
		s.requests[names[0]] = proof.Request{Payload: names[0], Ticket: tickets[0]}
	case "call":
		return s.call(names, value)
	case "await":
		var out []string
		for _, name := range names {
			out = append(out, name+": "+<-s.background[name])
			delete(s.background, name)
		}
		return strings.Join(out, "\n"), nil
	case "ran":
		return fmt.Sprint(s.sim.Oracle.Runs(names[0])), nil
	case "sleep":
		pause, err := time.ParseDuration(names[0])
		if err != nil {
			return "", err
		}
		time.Sleep(pause)
	default:
		return "ok", s.fault(d.Cmd, names, value("mode"))
	}
	return "ok", nil
}

// call presents a request and prints what the caller sees.
func (s *script) call(names []string, value func(string) string) (string, error) {
	r, ok := s.requests[names[0]]
	if !ok {
		r = proof.Request{Payload: names[0]}
	}
	host := s.sim.Host(value("at"))
	if host == nil {
		return "", fmt.Errorf("host %q does not exist", value("at"))
	}
	if text := value("payload"); text != "" {
		r.Payload = text
	}
	if text := value("deadline"); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil {
			return "", err
		}
		r.Deadline = deadline
	}
	switch value("ticket") {
	case "none":
		r.Ticket = ""
	case "garbled":
		r.Ticket = "t1." + r.Ticket[4:] + "A"
	}
	r.Search, r.Body = value("search"), value("body")
	r.LoseAnswer = slices.Contains(names, "lose_answer")
	ended := make(chan string, 1)
	present := func() {
		c := s.sim.Present(host, r)
		if c.Status == 0 {
			ended <- "no answer"
			return
		}
		ended <- strings.TrimSpace(fmt.Sprintf("%d %s %s", c.Status, c.Outcome, c.Code))
	}
	if name := value("as"); name != "" {
		s.background[name] = ended
		go present()
		synctest.Wait()
		return "ok", nil
	}
	present()
	return <-ended, nil
}

func (s *script) fault(cmd string, names []string, mode string) error {
	switch cmd {
	case "heal":
		s.sim.Heal()
		return nil
	case "cut":
		s.sim.Cut(names[0])
		return nil
	case "shard":
		if names[0] == "all" {
			names = []string{"0", "1", "2"}
		}
		for _, name := range names {
			shard, err := strconv.Atoi(name)
			if err != nil {
				return err
			}
			s.sim.SetShard(shard, proof.ShardMode(mode))
		}
		return nil
	case "link":
		s.sim.SetLink(names[0], proof.LinkMode(mode))
		return nil
	}
	host := s.sim.Host(names[0])
	if host == nil {
		return fmt.Errorf("host %q does not exist", names[0])
	}
	switch cmd {
	case "kill":
		host.Kill()
	case "start":
		host.Start()
	case "restart":
		host.Kill()
		host.Start()
	case "pause":
		host.Pause()
	case "resume":
		host.Resume()
	case "stop":
		go host.Stop()
		synctest.Wait()
	case "overload":
		host.SetOverloaded(len(names) < 2)
	case "configuration":
		host.SetConfig(map[string]func() *release.Config{
			"none": func() *release.Config { return nil }, "withdrawn": proof.WithdrawnConfig, "full": proof.Config,
		}[names[1]]())
	default:
		return fmt.Errorf("command %q does not exist", cmd)
	}
	return nil
}
