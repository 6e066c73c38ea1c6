// Package platform is a stand-in for the platform in tests and
// demonstrations: a key-value store with compare-and-swap and long-poll
// watches, a host list that can lag, fault injection and call counters, all
// over HTTP with JSON bodies. Its state is kept in memory only.
//
// The calls are:
//
//	GET    /v1/kv/{key}                     the entry; revision 0 means absent
//	PUT    /v1/kv/{key}                     compare-and-swap with a PutRequest; 409 and
//	                                        the entry if the revision differs
//	GET    /v1/watch/{key}?after=N&wait=1s  the entry above revision N, or 204
//	GET    /v1/hosts?after=N&wait=1s        the host list above revision N, or 204
//	GET    /admin/faults                    the faults in force
//	PUT    /admin/faults                    replaces them with a Faults body
//	PUT    /admin/hosts                     replaces the host list with a HostsRequest
//	POST   /admin/hosts                     adds or replaces one infra.ListedHost by address
//	DELETE /admin/hosts?addr=ip:port        removes one listed host
//	GET    /admin/counters                  the Counters since the last reset
//	DELETE /admin/counters                  resets the counters
package platform

import (
	"github.com/arbutusgauge/arbutusgauge/internal/infra"
	"github.com/arbutusgauge/arbutusgauge/internal/jwcc"
)

// EntryBody is an entry of the key-value store as it is sent in a reply.
type EntryBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`    // base64 in JSON
	Revision uint64 `json:"revision"` // number of writes of the key; 0 if absent
}

// PutRequest asks for a compare-and-swap: Value is written only if the key is at
// Revision. Revision 0 requires that the key is absent.
type PutRequest struct {
	Value    []byte `json:"value"` // base64 in JSON; at most 1 MiB
	Revision uint64 `json:"revision"`
}

// HostsRequest replaces the host list.
type HostsRequest struct {
	Hosts []infra.ListedHost `json:"hosts"`
}

// Faults are the injected faults. They apply to calls under /v1/ only; the zero
// value injects none.
type Faults struct {
	// Down closes the connection of every call before the call takes effect.
	Down bool `json:"down"`
	// Delay is the time that every call waits before it takes effect. A write
	// takes effect after the delay even if its caller has given up.
	Delay jwcc.Duration `json:"delay"`
	// LoseReplies is the number of further writes that are processed normally
	// but whose connection is then closed without a reply.
	LoseReplies int `json:"lose_replies"`
	// HostListLag is the time until a change of the host list becomes visible.
	HostListLag jwcc.Duration `json:"host_list_lag"`
}

// Counters count the calls under /v1/ since the last reset.
type Counters struct {
	Reads        uint64  `json:"reads"`      // of a key
	Writes       uint64  `json:"writes"`     // including conflicts
	Conflicts    uint64  `json:"conflicts"`  // writes whose revision did not match
	Watches      uint64  `json:"watches"`    // of a key
	HostLists    uint64  `json:"host_lists"` // reads or watches of the host list
	Refused      uint64  `json:"refused"`    // connections closed by the fault Down
	LostReplies  uint64  `json:"lost"`       // replies to writes lost by the fault LoseReplies
	WaitingPolls int64   `json:"waiting"`    // long polls of a key or the host list in progress now
	Seconds      float64 `json:"seconds"`    // since the last reset
	ReadRate     float64 `json:"read_rate"`  // reads, watches and host list calls per second
	WriteRate    float64 `json:"write_rate"` // writes per second
}
