package main

import (
	"encoding/json"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// newTargetNote returns a note that adds the given number of services with 7,000
// replicas and one search each.
func newTargetNote(services int) *release.Note {
	n := &release.Note{ID: "n-1", Author: "capacity"}
	for i := range services {
		n.Services.Added = append(n.Services.Added, *newService(i, shardsPerService, replicasPerShard, 1))
		n.Searches.Added = append(n.Searches.Added, *newSearch(i))
	}
	return n
}

// measureRelease measures configurations of the release package by replicas.
func measureRelease(r Recorder, _ *Options) error {
	for _, services := range serviceCounts {
		if err := measureConfig(r, services); err != nil {
			return err
		}
	}
	return nil
}

// measureConfig measures a configuration: its memory and size, and the time to
// change one search and to assemble it from its stored documents.
func measureConfig(r Recorder, services int) error {
	size := float64(services * shardsPerService * replicasPerShard)
	record := func(measure, unit string, value float64) error {
		return r.Record(Point{Measure: measure, Size: size, Per: "replica", Value: value, Unit: unit})
	}
	body, err := json.Marshal(newTargetNote(services))
	if err != nil {
		return err
	}
	before := liveMemory()
	n, err := release.ParseNote("note.json", body)
	if err != nil {
		return err
	}
	c, err := release.Apply(nil, n)
	if err != nil {
		return err
	}
	if err := record("release: memory of the configuration", "B", liveMemoryWith(c, body)-before); err != nil {
		return err
	}
	if err := record("release: document bytes, uncompressed", "B", float64(len(body))); err != nil {
		return err
	}
	changed := *newSearch(0)
	changed.Deadline++
	change := &release.Note{ID: "n-2", Base: 1, Searches: release.SearchChanges{Changed: []release.Search{changed}}}
	applyCost, err := measureCost(rusageSelf, func() error {
		_, err := release.Apply(c, change)
		return err
	})
	if err != nil {
		return err
	}
	if err := record("release: check and apply a note that changes one search", "µs", applyCost.processorMicros); err != nil {
		return err
	}
	manifest, documents, err := release.Split(c, release.Manifest{}, release.NoteRecord{ID: "n-1", Version: 1})
	if err != nil {
		return err
	}
	assembleCost, err := measureCost(rusageSelf, func() error {
		_, err := release.Assemble(manifest, documents)
		return err
	})
	if err != nil {
		return err
	}
	return record("release: assemble a configuration from its documents", "µs", assembleCost.processorMicros)
}
