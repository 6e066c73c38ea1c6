package routing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/routing"
)

func exampleTable() *routing.Table {
	return (&routing.Table{Version: 1, Routes: []routing.Route{
		{Name: "all", Host: "mill.example", Prefix: "/"},
		{Name: "rota", Host: "Mill.example", Prefix: "/rota/"},
		{Name: "day", Host: "mill.example", Prefix: "/rota/day/"},
		{Name: "other", Host: "other.example", Prefix: "/rota/"},
	}}).BuildIndex()
}

// Guards against a request that is routed by another host name, or by a shorter
// prefix although a longer one matches.
func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	for _, c := range []struct{ host, path, route string }{
		{"mill.example", "/rota/day/1", "day"},
		{"mill.example", "/rota/daylight", "rota"},
		{"mill.example:8104", "/rota/x", "rota"},
		{"MILL.example", "/x", "all"},
		{"other.example", "/rota/day/1", "other"},
		{"other.example", "/x", ""},
		{"none.example", "/rota/", ""},
		{"other.example", "/rota", ""},
	} {
		name := ""
		if r := exampleTable().Match(c.host, c.path); r != nil {
			name = r.Name
		}
		NewWithT(t).Expect(name).To(Equal(c.route), c.host+c.path)
	}
}

// Guards against targets whose share of the requests differs by more than 0.1, the
// tolerance that is required, from the share by their weights.
func TestChooseServiceFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	route := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}, {Service: "c"}}}
	const n = 4000
	count := map[string]int{}
	for range n {
		count[route.ChooseService()]++
	}
	g.Expect(float64(count["a"]) / n).To(BeNumerically("~", 0.7, 0.1))
	g.Expect(float64(count["b"]) / n).To(BeNumerically("~", 0.3, 0.1))
	g.Expect(count["c"]).To(BeZero())
	none := routing.Route{Targets: []routing.Target{{Service: "a"}}}
	g.Expect(none.ChooseService()).To(BeEmpty())
}
