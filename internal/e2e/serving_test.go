package e2e

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/procs"
)

var _ = Describe("serving", Ordered, func() {
	It("answers again without operator action after a host is killed and restarted", func() {
		deployment.Hosts["badin-2"].Kill()
		for range 20 {
			reply := searchRota(deployment.HTTPAddr("badin-1"))
			Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
			Expect(reply.Coverage.Fraction).To(Equal(1.0), "%+v", reply.Coverage.Missing)
		}
		Expect(deployment.StartHost("badin-2")).To(Succeed())
		Expect(deployment.WaitReady(inForceTimeout, "badin-2")).To(Succeed())
		reply := searchRota(deployment.HTTPAddr("badin-2"))
		Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
		Expect(reply.Rows).To(HaveLen(200))
	})

	It("keeps full coverage while the open connections of all backend servers of a data centre are silent", func() {
		Expect(searchRota(deployment.HTTPAddr("thatta-1")).Answered()).To(BeTrue())
		_, err := caller.Post(context.Background(), deployment.BackendAdminAddr("badin"), "/v1/replicas/all/silence", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			reply := searchRota(deployment.HTTPAddr("badin-1"))
			Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
			Expect(reply.Coverage.Fraction).To(Equal(1.0), "%+v", reply.Coverage.Missing)
		}
	})

	// Guards against a shard that is missing from answers because the owner of one
	// replica is paused and the connections to the other replica are silent.
	It("keeps full coverage when a host is paused right after the connections of another data centre went silent", func() {
		for range 10 {
			Expect(searchRota(deployment.HTTPAddr("badin-1")).Answered()).To(BeTrue())
		}
		_, err := caller.Post(context.Background(), deployment.BackendAdminAddr("badin"), "/v1/replicas/all/silence", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		paused := deployment.Hosts["thatta-2"]
		Expect(paused.Signal(syscall.SIGSTOP)).To(Succeed())
		pauseEnd := time.Now().Add(3 * time.Second)
		for time.Now().Before(pauseEnd) {
			reply := searchRota(deployment.HTTPAddr("badin-1"))
			Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
			Expect(reply.Coverage.Fraction).To(Equal(1.0), "%+v", reply.Coverage.Missing)
		}
		Expect(paused.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() bool { return searchRota(deployment.HTTPAddr("thatta-2")).Answered() }, inForceTimeout, "100ms").Should(BeTrue())
	})

	It("goes on while a host is paused, and the host serves again after it is resumed", func() {
		paused := deployment.Hosts["thatta-2"]
		Expect(paused.Signal(syscall.SIGSTOP)).To(Succeed())
		pauseEnd := time.Now().Add(3 * time.Second)
		for time.Now().Before(pauseEnd) {
			reply := searchRota(deployment.HTTPAddr("thatta-1"))
			Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
			Expect(reply.Coverage.Fraction).To(Equal(1.0), "%+v", reply.Coverage.Missing)
		}
		Expect(paused.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() bool { return searchRota(deployment.HTTPAddr("thatta-2")).Answered() }, inForceTimeout, "100ms").Should(BeTrue())
	})

	It("gives a leaving backend server no new work after 3 seconds, although its status says that it is ready", func() {
		replica := string(deployment.Note.Services.Added[0].Shards[0].Replicas[0].Addr)
		lie := map[string]any{"status_lie": map[string]any{"state": "ready", "oldest": 1, "newest": 1}}
		setFaults("badin", replica, lie)
		_, err := caller.Post(context.Background(), deployment.PlatformAddr(), "/admin/hosts", map[string]any{
			"addr": replica, "role": "backend", "data_centre": "badin", "state": "leaving",
		}, nil)
		Expect(err).NotTo(HaveOccurred())
		searches := startSearchLoad(4, 5*time.Millisecond)
		time.Sleep(3 * time.Second)
		before := executionCount("badin", replica)
		time.Sleep(time.Second)
		after := executionCount("badin", replica)
		for _, reply := range searches.stop() {
			Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
			Expect(reply.Coverage.Fraction).To(Equal(1.0), "%+v", reply.Coverage.Missing)
		}
		Expect(after).To(Equal(before))
		setFaults("badin", replica, map[string]any{})
		_, err = caller.Post(context.Background(), deployment.PlatformAddr(), "/admin/hosts", map[string]any{
			"addr": replica, "role": "backend", "data_centre": "badin", "state": "live",
		}, nil)
		Expect(err).NotTo(HaveOccurred())
	})
})

// executionCount returns how many sub-requests a replica has run since it started.
func executionCount(dataCentre, replica string) uint64 {
	var out struct {
		Total uint64 `json:"total"`
	}
	path := "/v1/replicas/" + replica + "/executions?limit=1"
	Expect(caller.Get(context.Background(), deployment.BackendAdminAddr(dataCentre), path, &out)).To(Succeed())
	return out.Total
}

var _ = Describe("a planned stop", func() {
	// Guards against requests that are cut off while hosts are restarted group by
	// group behind a balancer that notices their stop balancerLag later.
	It("of every host in turn, under load, cuts off no request", func() {
		searches := startSearchLoad(6, 15*time.Millisecond)
		for _, number := range []string{"1", "2", "3"} {
			hosts := []string{"badin-" + number, "thatta-" + number, "tando-" + number}
			for _, host := range hosts {
				Expect(deployment.Hosts[host].Signal(syscall.SIGTERM)).To(Succeed())
			}
			for _, host := range hosts {
				Expect(deployment.Hosts[host].Stop(procs.StopTimeout)).To(Succeed())
				Expect(deployment.StartHost(host)).To(Succeed())
			}
			Expect(deployment.WaitReady(startTimeout, hosts...)).To(Succeed())
			time.Sleep(balancerLag + 200*time.Millisecond)
		}
		replies := searches.stop()
		Expect(len(replies)).To(BeNumerically(">", 1000))
		for _, reply := range replies {
			Expect(reply.Err).NotTo(HaveOccurred())
			Expect(reply.Answered()).To(BeTrue(), "%+v", reply)
		}
	})
})
