package main

// user is an example user of the software, with the addresses, services and
// searches of its deployment.
type user struct {
	Name, Title, Priority string
	SettingsHost          string // entry host whose settings file is written
	DataCentres           []string
	OneWayDelay           string // between data centres
	HTTPPort, PeerPort    int
	Seeds                 []int // peer ports
	PlatformPort          int
	ReplicaPort           int // of the first replica; the others follow
	Services              []service
	Searches              []search
}

// service is a service of the release note. newUserView derives its shards from
// the counts.
type service struct {
	Name, Comment                             string
	ShardCount, ReplicaCount, LedgersPerShard int
	Slots, Connections                        int
	ConnectCost                               string
}

// search is a search of the release note.
type search struct {
	Service, Name, Comment      string
	Repeatable                  bool
	Wait, LatencyGoal, Deadline string
	LeastCoverage               float64
	ObjectiveGood               float64
	ObjectiveLatency            string
	ObjectiveCoverage           float64
}

var users = []user{
	{
		Name: "ganna", Title: "Ganna Shift Labs", SettingsHost: "badin-1",
		Priority:    "Coverage comes first: a rota built from missing ledgers calls the wrong gangs.",
		DataCentres: []string{"badin", "thatta", "tando"}, OneWayDelay: "5ms",
		HTTPPort: 17101, PeerPort: 17201, Seeds: []int{17201, 17204, 17207}, PlatformPort: 17000, ReplicaPort: 20000,
		Services: []service{
			{"mill-dispatch", "20 shards with 2 replicas each.", 20, 2, 10, 2, 25, "6ms"},
			{"payroll-desk", "30 shards with 2 replicas each.", 30, 2, 10, 2, 25, "6ms"},
			{"contractor-app", "1 shard with 5 replicas.", 1, 5, 100, 6, 110, "1ms"},
			{"field-notices", "1 shard with 3 replicas.", 1, 3, 100, 6, 110, "1ms"},
		},
		Searches: []search{
			{"mill-dispatch", "rota", "Builds the rota of a shift from all ledgers.", true, "coverage", "150ms", "2s", 0.95, 0.99, "400ms", 1},
			{"mill-dispatch", "gang-status", "Where the gangs are now; a few missing ledgers are shown as such.", true, "coverage", "100ms", "1s", 0.8, 0.99, "250ms", 0.95},
			{"mill-dispatch", "gang-call-out", "Calls a gang out. Not repeatable: a second run calls a second gang.", false, "coverage", "200ms", "3s", 1, 0.995, "500ms", 1},
			{"payroll-desk", "wage-sheet", "Sums the wages of a period; every ledger counts.", true, "coverage", "250ms", "5s", 1, 0.99, "1s", 1},
			{"payroll-desk", "attendance", "Attendance of a gang over a period.", true, "coverage", "150ms", "2s", 0.95, 0.99, "400ms", 1},
			{"contractor-app", "open-jobs", "Jobs that a contractor can take.", true, "coverage", "50ms", "500ms", 1, 0.995, "150ms", 1},
			{"field-notices", "latest", "Newest notices for a field.", true, "coverage", "50ms", "500ms", 1, 0.99, "150ms", 1},
		},
	},
	{
		Name: "huber", Title: "Huber Tonnenwäsche", SettingsHost: "depot-linz-1",
		Priority:    "Tail latency comes first: the driver is waiting at the kerb.",
		DataCentres: []string{"depot-linz", "depot-wels", "depot-steyr"}, OneWayDelay: "4ms",
		HTTPPort: 18101, PeerPort: 18201, Seeds: []int{18201, 18204, 18207}, PlatformPort: 18000, ReplicaPort: 21000,
		Services: []service{
			{"touren-app", "20 shards with 2 replicas each.", 20, 2, 10, 2, 25, "6ms"},
			{"buchungsportal", "30 shards with 2 replicas each.", 30, 2, 10, 2, 25, "6ms"},
			{"faktura", "1 shard with 13 replicas.", 1, 13, 100, 3, 40, "1ms"},
			{"fuhrpark-log", "1 shard with 6 replicas.", 1, 6, 100, 3, 40, "1ms"},
		},
		Searches: []search{
			{"touren-app", "next-stops", "Next stops of a driver; answers with what it has at the latency goal.", true, "latency", "60ms", "400ms", 0.8, 0.99, "100ms", 0.9},
			{"touren-app", "tour-overview", "All stops of a day.", true, "latency", "120ms", "800ms", 0.9, 0.99, "200ms", 0.95},
			{"buchungsportal", "free-times", "Times at which bins can be washed.", true, "latency", "80ms", "500ms", 0.8, 0.99, "150ms", 0.9},
			{"buchungsportal", "booking", "Books a time. Not repeatable: a second run books twice.", false, "coverage", "150ms", "2s", 1, 0.995, "400ms", 1},
			{"faktura", "invoice", "Reads an invoice.", true, "latency", "40ms", "300ms", 1, 0.995, "80ms", 1},
			{"fuhrpark-log", "positions", "Last positions of the vehicles.", true, "latency", "40ms", "300ms", 1, 0.99, "80ms", 1},
		},
	},
}
