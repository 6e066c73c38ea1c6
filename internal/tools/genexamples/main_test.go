package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
	"github.com/arbutusgauge/arbutusgauge/internal/settings"
)

const examplesDir = "../../../examples"

// Guards against committed examples that differ from the generator's output.
func TestExamplesMatchGenerator(t *testing.T) {
	g := gomega.NewWithT(t)
	all, err := renderFiles()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for path, want := range all {
		got, err := os.ReadFile(filepath.Join(examplesDir, path))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal(string(want)), "run go generate ./internal/tools/genexamples")
	}
}

// Guards against examples that release.Apply or settings.Load refuses, that
// have another number of replicas or slots than the design page states, or that
// place the first two replicas of a shard in one data centre, with which the
// shard could be lost.
func TestExamplesAreValidWithDesignSizes(t *testing.T) {
	for _, want := range []struct {
		user, host, dataCentre string
		replicas, slots        int
		notRepeatable          string
	}{
		{"ganna", "badin-1", "badin", 108, 248, "mill-dispatch/gang-call-out"},
		{"huber", "depot-linz-1", "depot-linz", 119, 257, "buchungsportal/booking"},
	} {
		t.Run(want.user, func(t *testing.T) {
			g := gomega.NewWithT(t)
			file := filepath.Join(examplesDir, want.user, "release-note.hujson")
			body, err := os.ReadFile(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			n, err := release.ParseNote(file, body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			cfg, err := release.Apply(nil, n)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(cfg.Services).To(gomega.HaveLen(4))
			replicas, slots := 0, 0
			for _, s := range cfg.Services {
				for _, shard := range s.Shards {
					replicas += len(shard.Replicas)
					slots += len(shard.Replicas) * int(s.Slots)
					g.Expect(shard.Replicas[0].DataCentre).NotTo(gomega.Equal(shard.Replicas[1].DataCentre))
				}
			}
			g.Expect([]int{replicas, slots}).To(gomega.Equal([]int{want.replicas, want.slots}))
			g.Expect(cfg.Searches[want.notRepeatable].Repeatable).To(gomega.BeFalse())

			e, err := settings.Load(filepath.Join(examplesDir, want.user, want.host+".hujson"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect([]string{e.Host, e.DataCentre}).To(gomega.Equal([]string{want.host, want.dataCentre}))
			g.Expect(e.Delays).To(gomega.HaveLen(2))
		})
	}
}
