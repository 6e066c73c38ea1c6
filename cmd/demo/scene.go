package main

import "time"

// scene is what the demo shows of one deployment.
type scene struct {
	user        string
	dir         string // of its example files
	model       string // settings of one host
	dataCentres []string
	delay       time.Duration // one way, between data centres
	service     string
	search      string   // repeatable
	few         []string // flags that select a few ledgers
	single      []string // a search that must run once
	slow        slowReplica
	kill        string // entry host that is killed and started again
}

// slowReplica is the replica that the demo makes slow.
type slowReplica struct{ addr, dataCentre string }

var scenes = []scene{
	{
		user: "Ganna Shift Labs", dir: "ganna", model: "badin-1.hujson",
		dataCentres: []string{"badin", "thatta", "tando"}, delay: 5 * time.Millisecond,
		service: "mill-dispatch", search: "rota", few: []string{"--lo", "8", "--hi", "13"},
		single: []string{"mill-dispatch", "gang-call-out", "--lo", "7", "--hi", "8", "--ticket", "auto", "--payload", "gang=7"},
		slow:   slowReplica{addr: "127.0.0.1:20000", dataCentre: "badin"},
		kill:   "badin-2",
	},
	{
		user: "Huber Tonnenwäsche", dir: "huber", model: "depot-linz-1.hujson",
		dataCentres: []string{"depot-linz", "depot-wels", "depot-steyr"}, delay: 4 * time.Millisecond,
		service: "touren-app", search: "next-stops", few: []string{"--lo", "8", "--hi", "13"},
		single: []string{"buchungsportal", "booking", "--lo", "7", "--hi", "8", "--ticket", "auto", "--payload", "wash=7"},
		slow:   slowReplica{addr: "127.0.0.1:21000", dataCentre: "depot-linz"},
		kill:   "depot-linz-2",
	},
}
