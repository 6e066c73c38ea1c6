package account_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/arbutusgauge/arbutusgauge/internal/account"
)

// Guards against a key hash that changes on its way between hosts, and against a
// malformed one that is accepted.
func TestAccountsBetweenHosts(t *testing.T) {
	g := NewWithT(t)
	sent := account.Account{Name: "a", Keys: []account.KeyHash{account.HashKey("k")}, RatePerSecond: 2, Burst: 3}
	text, err := json.Marshal(sent)
	g.Expect(err).NotTo(HaveOccurred())
	var received account.Account
	g.Expect(json.Unmarshal(text, &received)).To(Succeed())
	g.Expect(received).To(Equal(sent))
	for _, malformed := range []string{`{"keys":["00"]}`, `{"keys":["` + string(make([]byte, 64)) + `"]}`} {
		g.Expect(json.Unmarshal([]byte(malformed), &received)).NotTo(Succeed())
	}
}

// Guards against a credential that can't be read and is taken for an account.
func TestDirectoryFindsAccountsByKey(t *testing.T) {
	g := NewWithT(t)
	accounts := []account.Account{{Name: "a", Keys: []account.KeyHash{account.HashKey("k"), account.HashKey("l")}}, {Name: "b"}}
	d := account.NewDirectory(accounts)
	g.Expect(d.Find(account.Credential{Present: true, Hash: account.HashKey("l")})).To(BeIdenticalTo(&accounts[0]))
	g.Expect(d.Find(account.Credential{Present: true, Hash: account.HashKey("m")})).To(BeNil())
	g.Expect(d.Find(account.Credential{Present: true})).To(BeNil())
	g.Expect(d.Find(account.Credential{Hash: account.HashKey("l")})).To(BeNil())
}
