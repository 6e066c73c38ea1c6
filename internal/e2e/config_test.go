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

// goalNote changes one search and nothing else.
func goalNote(id string, base uint64, goal time.Duration) *release.Note {
	search := fleet.Note.Searches.Added[0]
	search.LatencyGoal = jwcc.Duration(goal)
	return &release.Note{
		ID: id, Base: base, Author: "e2e", Searches: release.SearchChanges{Changed: []release.Search{search}},
	}
}

func inForceEverywhere(version uint64) {
	GinkgoHelper()
	Eventually(func() []string {
		var behind []string
		for _, host := range fleet.HostNames() {
			if versionAt(host) != version {
				behind = append(behind, host)
			}
		}
		return behind
	}, forceLimit, "50ms").Should(BeEmpty())
}

var _ = Describe("configuration", Ordered, func() {
	It("has one winner when operators race, and is in force everywhere within 4 s", func() {
		base := versionAt("badin-1")
		var wg sync.WaitGroup
		replies := make([]noteReply, 3)
		for i, host := range []string{"badin-1", "thatta-1", "tando-1"} {
			wg.Go(func() {
				defer GinkgoRecover()
				replies[i] = applyNoteAt(fleet.HTTPAddr(host), goalNote("race-"+host, base, time.Duration(50+i)*time.Millisecond))
			})
		}
		wg.Wait()
		won := 0
		for _, reply := range replies {
			if reply.Applied {
				won++
				continue
			}
			Expect(reply.Code).To(Equal("conflict"), "%+v", reply)
			Expect(reply.WinningNote).To(HavePrefix("race-"))
		}
		Expect(won).To(Equal(1))
		inForceEverywhere(base + 1)
	})

	It("is applied once when the store's reply is lost after the write took effect", func() {
		base := versionAt("badin-1")
		// A note that only withdraws writes no document, so the lost reply is
		// that of the manifest.
		gone := fleet.Note.Searches.Added[len(fleet.Note.Searches.Added)-1]
		withdrawal := &release.Note{ID: "lost-reply", Base: base, Author: "e2e"}
		withdrawal.Searches.Withdrawn = []string{release.SearchKey(gone.Service, gone.Name)}
		setPlatform(map[string]any{"lose_replies": 1})
		reply := applyNote(withdrawal)
		setPlatform(map[string]any{})
		Expect(reply.Applied).To(BeTrue(), "%+v", reply)
		Expect(reply.Version).To(Equal(base + 1))
		inForceEverywhere(base + 1)

		again := &release.Note{ID: "lost-reply-back", Base: base + 1, Author: "e2e"}
		again.Searches.Added = []release.Search{gone}
		setPlatform(map[string]any{"lose_replies": 3})
		Expect(applyNote(again).Version).To(Equal(base + 2))
		setPlatform(map[string]any{})
		inForceEverywhere(base + 2)
	})

	It("reaches a host that was paused while it came into force", func() {
		base := versionAt("badin-1")
		Expect(fleet.Hosts["tando-2"].Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		Expect(applyNote(goalNote("while-paused", base, 62*time.Millisecond)).Applied).To(BeTrue())
		time.Sleep(3 * time.Second)
		Expect(fleet.Hosts["tando-2"].Signal(syscall.SIGCONT)).To(Succeed())
		inForceEverywhere(base + 1)
	})

	It("is served by peers to a host that starts while the platform is down, and searches go on", func() {
		base := versionAt("badin-1")
		setPlatform(map[string]any{"down": true})
		reply := applyNote(goalNote("store-down", base, 63*time.Millisecond))
		Expect(reply.Code).To(Equal("store_unavailable"), "%+v", reply)
		fleet.Hosts["tando-3"].Kill()
		Expect(fleet.StartHost("tando-3")).To(Succeed())
		Expect(fleet.WaitReady(forceLimit, "tando-3")).To(Succeed())
		Expect(versionAt("tando-3")).To(Equal(base))
		Expect(rota(fleet.HTTPAddr("tando-3")).Answered()).To(BeTrue())
		setPlatform(map[string]any{})
	})

	It("never reverts when the platform comes back empty, or with an older configuration", func() {
		type stored struct {
			Value    []byte `json:"value"`
			Revision uint64 `json:"revision"`
		}
		var older, newer, restored stored
		Expect(caller.Get(context.Background(), fleet.PlatformAddr(), "/v1/kv/config/manifest", &older)).To(Succeed())
		version := versionAt("badin-1") + 1
		Expect(applyNote(goalNote("before-loss", version-1, 64*time.Millisecond)).Applied).To(BeTrue())
		inForceEverywhere(version)
		Expect(caller.Get(context.Background(), fleet.PlatformAddr(), "/v1/kv/config/manifest", &newer)).To(Succeed())
		fleet.Platform.Kill()
		Expect(fleet.RestartPlatform()).To(Succeed())
		stays := func() {
			GinkgoHelper()
			Consistently(func() uint64 { return versionAt("badin-1") }, "1500ms", "100ms").Should(Equal(version))
			for _, host := range fleet.HostNames() {
				Expect(versionAt(host)).To(Equal(version), host)
			}
		}
		stays()
		// A watcher waits for a revision above the last one that it saw, so the
		// older manifest is written until it has one.
		for restored.Revision <= newer.Revision {
			put := stored{Value: older.Value, Revision: restored.Revision}
			Expect(caller.Put(context.Background(), fleet.PlatformAddr(), "/v1/kv/config/manifest", put)).To(Succeed())
			Expect(caller.Get(context.Background(), fleet.PlatformAddr(), "/v1/kv/config/manifest", &restored)).To(Succeed())
		}
		stays()
		Expect(rota(fleet.HTTPAddr("badin-1")).Answered()).To(BeTrue())
	})
})
