package e2e

import (
	"context"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// latencyGoalNote returns a release note that only changes the latency goal of one
// search.
func latencyGoalNote(id string, base uint64, goal time.Duration) *release.Note {
	search := deployment.Note.Searches.Added[0]
	search.LatencyGoal = jwcc.Duration(goal)
	return &release.Note{
		ID: id, Base: base, Author: "e2e", Searches: release.SearchChanges{Changed: []release.Search{search}},
	}
}

// expectInForceEverywhere expects that a version comes into force on all hosts within
// inForceTimeout.
func expectInForceEverywhere(version uint64) {
	GinkgoHelper()
	Eventually(func() []string {
		var behind []string
		for _, host := range deployment.HostNames() {
			if configVersionAt(host) != version {
				behind = append(behind, host)
			}
		}
		return behind
	}, inForceTimeout, "50ms").Should(BeEmpty())
}

var _ = Describe("configuration", Ordered, func() {
	It("has one winner when operators race, and is in force everywhere within 4 s", func() {
		base := configVersionAt("badin-1")
		var wg sync.WaitGroup
		replies := make([]noteReply, 3)
		for i, host := range []string{"badin-1", "thatta-1", "tando-1"} {
			wg.Go(func() {
				defer GinkgoRecover()
				replies[i] = applyNoteAt(deployment.HTTPAddr(host), latencyGoalNote("race-"+host, base, time.Duration(50+i)*time.Millisecond))
			})
		}
		wg.Wait()
		winners := 0
		for _, reply := range replies {
			if reply.Applied {
				winners++
				continue
			}
			Expect(reply.Code).To(Equal("conflict"), "%+v", reply)
			Expect(reply.WinningNote).To(HavePrefix("race-"))
		}
		Expect(winners).To(Equal(1))
		expectInForceEverywhere(base + 1)
	})

	It("is applied once when the store's reply is lost after the write took effect", func() {
		base := configVersionAt("badin-1")
		// A note that only withdraws writes no document, so the lost reply is
		// the one to the write of the manifest.
		withdrawn := deployment.Note.Searches.Added[len(deployment.Note.Searches.Added)-1]
		withdrawal := &release.Note{ID: "lost-reply", Base: base, Author: "e2e"}
		withdrawal.Searches.Withdrawn = []string{release.SearchKey(withdrawn.Service, withdrawn.Name)}
		setPlatformFaults(map[string]any{"lose_replies": 1})
		reply := applyNote(withdrawal)
		setPlatformFaults(map[string]any{})
		Expect(reply.Applied).To(BeTrue(), "%+v", reply)
		Expect(reply.Version).To(Equal(base + 1))
		expectInForceEverywhere(base + 1)

		restoring := &release.Note{ID: "lost-reply-back", Base: base + 1, Author: "e2e"}
		restoring.Searches.Added = []release.Search{withdrawn}
		setPlatformFaults(map[string]any{"lose_replies": 3})
		Expect(applyNote(restoring).Version).To(Equal(base + 2))
		setPlatformFaults(map[string]any{})
		expectInForceEverywhere(base + 2)
	})

	It("reaches a host that was paused while it came into force", func() {
		base := configVersionAt("badin-1")
		Expect(deployment.Hosts["tando-2"].Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		Expect(applyNote(latencyGoalNote("while-paused", base, 62*time.Millisecond)).Applied).To(BeTrue())
		time.Sleep(3 * time.Second)
		Expect(deployment.Hosts["tando-2"].Signal(syscall.SIGCONT)).To(Succeed())
		expectInForceEverywhere(base + 1)
	})

	It("is served by peers to a host that starts while the platform is down, and searches go on", func() {
		base := configVersionAt("badin-1")
		setPlatformFaults(map[string]any{"down": true})
		reply := applyNote(latencyGoalNote("store-down", base, 63*time.Millisecond))
		Expect(reply.Code).To(Equal("store_unavailable"), "%+v", reply)
		deployment.Hosts["tando-3"].Kill()
		Expect(deployment.StartHost("tando-3")).To(Succeed())
		Expect(deployment.WaitReady(inForceTimeout, "tando-3")).To(Succeed())
		Expect(configVersionAt("tando-3")).To(Equal(base))
		Expect(searchRota(deployment.HTTPAddr("tando-3")).Answered()).To(BeTrue())
		setPlatformFaults(map[string]any{})
	})

	It("never reverts when the platform comes back empty, or with an older configuration", func() {
		type stored struct {
			Value    []byte `json:"value"`
			Revision uint64 `json:"revision"`
		}
		var older, newer, restored stored
		Expect(caller.Get(context.Background(), deployment.PlatformAddr(), "/v1/kv/config/manifest", &older)).To(Succeed())
		version := configVersionAt("badin-1") + 1
		Expect(applyNote(latencyGoalNote("before-loss", version-1, 64*time.Millisecond)).Applied).To(BeTrue())
		expectInForceEverywhere(version)
		Expect(caller.Get(context.Background(), deployment.PlatformAddr(), "/v1/kv/config/manifest", &newer)).To(Succeed())
		deployment.Platform.Kill()
		Expect(deployment.RestartPlatform()).To(Succeed())
		expectUnchanged := func() {
			GinkgoHelper()
			Consistently(func() uint64 { return configVersionAt("badin-1") }, "1500ms", "100ms").Should(Equal(version))
			for _, host := range deployment.HostNames() {
				Expect(configVersionAt(host)).To(Equal(version), host)
			}
		}
		expectUnchanged()
		// Hosts watch for a revision above the last one that they saw. The empty
		// platform counts revisions from the start again, so the older manifest is
		// written until its revision is above that of the newer one.
		for restored.Revision <= newer.Revision {
			put := stored{Value: older.Value, Revision: restored.Revision}
			Expect(caller.Put(context.Background(), deployment.PlatformAddr(), "/v1/kv/config/manifest", put)).To(Succeed())
			Expect(caller.Get(context.Background(), deployment.PlatformAddr(), "/v1/kv/config/manifest", &restored)).To(Succeed())
		}
		expectUnchanged()
		Expect(searchRota(deployment.HTTPAddr("badin-1")).Answered()).To(BeTrue())
	})
})
