package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/rules"
)

// view holds the parts of the tables that request goroutines read. It is immutable once published.
type view struct {
	version int
	rules   *rules.Set
	keys    map[string]rules.Key // by hash
	outs    id.Set[id.DataCentre]
}

// HashKey returns the hash under which a key's secret is stored.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// key returns the key rule for a secret, and whether such a key is in force.
func (v *view) key(secret string) (rules.Key, bool) {
	hash := HashKey(secret)
	key, ok := v.keys[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(key.Hash), []byte(hash)) != 1 {
		return rules.Key{}, false
	}
	return key, true
}

// isKeyInForce reports whether the key with a hash is in force.
func (v *view) isKeyInForce(hash string) bool {
	_, ok := v.keys[hash]
	return ok
}

// setTables replaces the tables, for example with those of a snapshot.
func (c *Control) setTables(t *fleet.Tables) {
	c.tables = t
	c.tables.IgnoreBudget = c.config.DisabledChecks.IgnoreBudget
	c.refresh()
}

// refresh updates everything derived from the tables and the pending restrictions.
func (c *Control) refresh() {
	set := c.tables.Rules()
	v := &view{version: c.tables.Version, rules: set, keys: map[string]rules.Key{}, outs: id.NewSet(set.Outs...)}
	withdrawn := id.Set[string]{}
	for _, r := range c.pendingRestrictions {
		for _, ref := range r.message.Edit.Remove {
			if ref.Kind == "key" && !c.config.DisabledChecks.IgnoreWithdrawals {
				withdrawn.Add(ref.Name)
			}
		}
		for _, dc := range r.outs {
			v.outs.Add(dc)
		}
	}
	for _, key := range set.Keys {
		if !withdrawn.Has(key.Name) {
			v.keys[key.Hash] = key
		}
	}
	if old := c.view.Load(); old != nil && c.config.DisabledChecks.IgnoreNewRules && old.version > 0 {
		v = old
	}
	c.view.Store(v)
	c.holder.Sync(&c.tables.Ledger)
	c.refreshPools()
	c.demandChanged = true
	c.tablesChanged = true
}

// isOut reports whether a data centre has been taken out, by the rules or by a pending restriction.
func (c *Control) isOut(dc id.DataCentre) bool {
	if c.config.DisabledChecks.IgnoreOuts {
		return false
	}
	return c.view.Load().outs.Has(dc)
}
