package main

import "time"

// scenario is an example deployment and what the demo does with it.
type scenario struct {
	organisation   string
	exampleDir     string // directory of its files below the examples directory
	settingsFile   string // settings of one host, adapted for every other host
	dataCentres    []string
	oneWayDelay    time.Duration // between data centres
	service        string
	search         string   // a repeatable search of service
	rangeFlags     []string // flags that limit search to a few ledgers
	ticketedSearch []string // arguments of a search that needs a ticket
	slow           slowReplica
	hostToKill     string // entry host that is killed and started again
}

// slowReplica is the replica whose answers the demo delays.
type slowReplica struct{ addr, dataCentre string }

var scenarios = []scenario{
	{
		organisation: "Ganna Shift Labs", exampleDir: "ganna", settingsFile: "badin-1.hujson",
		dataCentres: []string{"badin", "thatta", "tando"}, oneWayDelay: 5 * time.Millisecond,
		service: "mill-dispatch", search: "rota", rangeFlags: []string{"--lo", "8", "--hi", "13"},
		ticketedSearch: []string{"mill-dispatch", "gang-call-out", "--lo", "7", "--hi", "8", "--ticket", "auto", "--payload", "gang=7"},
		slow:           slowReplica{addr: "127.0.0.1:20000", dataCentre: "badin"},
		hostToKill:     "badin-2",
	},
	{
		organisation: "Huber Tonnenwäsche", exampleDir: "huber", settingsFile: "depot-linz-1.hujson",
		dataCentres: []string{"depot-linz", "depot-wels", "depot-steyr"}, oneWayDelay: 4 * time.Millisecond,
		service: "touren-app", search: "next-stops", rangeFlags: []string{"--lo", "8", "--hi", "13"},
		ticketedSearch: []string{"buchungsportal", "booking", "--lo", "7", "--hi", "8", "--ticket", "auto", "--payload", "wash=7"},
		slow:           slowReplica{addr: "127.0.0.1:21000", dataCentre: "depot-linz"},
		hostToKill:     "depot-linz-2",
	},
}
