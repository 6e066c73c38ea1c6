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

// scenario runs one file under testdata, which holds the steps of one failure and
// the expected output of each. The commands:
//
//	hosts <name>...                      starts an installation with these hosts
//	issue <request> at=<host>            requests a ticket for a new request
//	call <request> at=<host> [payload=<text>] [search=<name>] [deadline=<duration>]
//	     [ticket=none|garbled] [body=<text>] [lose_answer] [as=<name>]
//	                                     sends the request; with "as" in the
//	                                     background under that name
//	await <name>...                      waits for background calls to end
//	shard <number>...|all mode=<mode>    sets the mode, see proof.ShardMode
//	link <host> mode=<mode>              sets the mode, see proof.LinkMode
//	cut <data centre>                    cuts it off from the other data centres
//	kill|start|restart|pause|resume|stop <host>
//	overload <host> [off]                makes admission refuse every search
//	configuration <host> none|withdrawn|full
//	                                     sets the configuration in force
//	sleep <duration>
//	ran <request>                        prints how often each shard has run it
//	heal                                 ends all faults, see proof.Sim.Heal
//
// A call prints its HTTP status, outcome and error code, or "no answer". After the
// last command of a file the oracle checks all guarantees.
type scenario struct {
	sim        *proof.Sim
	requests   map[string]proof.Request // by the name given to "issue"
	background map[string]chan string   // results of background calls by name
}

// TestScenarios runs the scenarios under testdata. Each guards against the failure
// that its first lines describe.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &scenario{requests: map[string]proof.Request{}, background: map[string]chan string{}}
			defer func() { s.sim.Close() }() // runs also when a failed command ends the test
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				out, err := s.runCommand(d)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				return out + "\n"
			})
			for _, ended := range s.background {
				<-ended
			}
			for _, fault := range s.sim.Oracle.Violations() {
				t.Errorf("%s: %s", path, fault)
			}
		})
	})
}

// runCommand runs one command of a scenario and returns what it prints.
func (s *scenario) runCommand(d *datadriven.TestData) (string, error) {
	var names []string
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) == 0 {
			names = append(names, arg.Key)
		}
	}
	option := func(key string) string {
		if arg, ok := d.Arg(key); ok && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
		return ""
	}
	if d.Cmd == "hosts" {
		s.sim = proof.NewSim(names...)
		return "ok", nil
	}
	if len(names) == 0 && d.Cmd != "heal" {
		return "", fmt.Errorf("command %q needs an argument", d.Cmd)
	}
	switch d.Cmd {
	case "issue":
		tickets := s.sim.IssueTickets(s.sim.Host(option("at")), 1)
		if len(tickets) == 0 {
			return "no answer", nil
		}
		s.requests[names[0]] = proof.Request{Payload: names[0], Ticket: tickets[0]}
	case "call":
		return s.presentRequest(names, option)
	case "await":
		var out []string
		for _, name := range names {
			out = append(out, name+": "+<-s.background[name])
			delete(s.background, name)
		}
		return strings.Join(out, "\n"), nil
	case "ran":
		return fmt.Sprint(s.sim.Oracle.RunCounts(names[0])), nil
	case "sleep":
		pause, err := time.ParseDuration(names[0])
		if err != nil {
			return "", err
		}
		time.Sleep(pause)
	default:
		return "ok", s.injectFault(d.Cmd, names, option("mode"))
	}
	return "ok", nil
}

// presentRequest runs the command "call" and returns what the caller sees. A call
// in the background returns "ok" at once.
func (s *scenario) presentRequest(names []string, option func(string) string) (string, error) {
	r, ok := s.requests[names[0]]
	if !ok {
		r = proof.Request{Payload: names[0]}
	}
	host := s.sim.Host(option("at"))
	if host == nil {
		return "", fmt.Errorf("host %q does not exist", option("at"))
	}
	if text := option("payload"); text != "" {
		r.Payload = text
	}
	if text := option("deadline"); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil {
			return "", err
		}
		r.Deadline = deadline
	}
	switch option("ticket") {
	case "none":
		r.Ticket = ""
	case "garbled":
		r.Ticket = "t1." + r.Ticket[4:] + "A"
	}
	r.Search, r.Body = option("search"), option("body")
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
	if name := option("as"); name != "" {
		s.background[name] = ended
		go present()
		synctest.Wait()
		return "ok", nil
	}
	present()
	return <-ended, nil
}

// injectFault runs a command that changes the state of hosts, shards or links.
func (s *scenario) injectFault(cmd string, names []string, mode string) error {
	switch cmd {
	case "heal":
		s.sim.Heal()
		return nil
	case "cut":
		s.sim.CutOff(names[0])
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
