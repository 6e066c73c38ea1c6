package main

import (
	"encoding/json"

	"github.com/arbutusgauge/arbutusgauge/internal/release"
)

// targetNote adds the given number of services of 7,000 replicas.
func targetNote(services int) *release.Note {
	n := &release.Note{ID: "n-1", Author: "capacity"}
	for i := range services {
		n.Services.Added = append(n.Services.Added, *service(i, shardsPer, replicasPer, 1))
		n.Searches.Added = append(n.Searches.Added, *search(i))
	}
	return n
}

func measureRelease(r Recorder, _ *Options) error {
	for _, services := range targetServices {
		if err := measureConfig(r, services); err != nil {
			return err
		}
	}
	return nil
}

func measureConfig(r Recorder, services int) error {
	size := float64(services * shardsPer * replicasPer)
	record := func(measure, unit string, value float64) error {
		return r.Record(Point{Measure: measure, Size: size, Per: "replica", Value: value, Unit: unit})
	}
	body, err := json.Marshal(targetNote(services))
	if err != nil {
		return err
	}
	before := memory()
	n, err := release.ParseNote("note.json", body)
	if err != nil {
		return err
	}
	c, err := release.Apply(nil, n)
	if err != nil {
		return err
	}
	if err := record("release: memory of the configuration", "B", memoryWith(c, body)-before); err != nil {
		return err
	}
	if err := record("release: document bytes, uncompressed", "B", float64(len(body))); err != nil {
		return err
	}
	changed := *search(0)
	changed.Deadline++
	change := &release.Note{ID: "n-2", Base: 1, Searches: release.SearchChanges{Changed: []release.Search{changed}}}
	apply, err := measureCost(thisProcess, func() error {
		_, err := release.Apply(c, change)
		return err
	})
	if err != nil {
		return err
	}
	if err := record("release: check and apply a note that changes one search", "µs", apply.micros); err != nil {
		return err
	}
	manifest, documents, err := release.Split(c, release.Manifest{}, release.NoteRecord{ID: "n-1", Version: 1})
	if err != nil {
		return err
	}
	assemble, err := measureCost(thisProcess, func() error {
		_, err := release.Assemble(manifest, documents)
		return err
	})
	if err != nil {
		return err
	}
	return record("release: assemble a configuration from its documents", "µs", assemble.micros)
}
