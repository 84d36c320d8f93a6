package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/store"
)

// State is the state of an instance between service and reboot.
type State string

// States of an instance.
const (
	Up        State = "up"
	Draining  State = "draining"
	Rebooting State = "rebooting"
	Held      State = "held"
	Failed    State = "failed"
)

// Reason is why an instance is drained.
type Reason string

// Reasons for a drain.
const (
	ForMove   Reason = "move"
	ForReboot Reason = "reboot"
	ForHold   Reason = "hold"
	ForLeave  Reason = "leave"
)

// Instance is the entry of one worker in the tables. At every offset it belongs to exactly one pool.
type Instance struct {
	Address      netip.AddrPort    `json:"address"`
	DataCentre   id.DataCentre     `json:"dc"`
	Rack         id.Rack           `json:"rack"`
	Slots        int               `json:"slots"`
	Processors   int               `json:"processors"`
	MemoryBytes  int64             `json:"memory"`
	Accelerators int               `json:"accelerators"`
	Pool         id.Pool           `json:"pool"`
	State        State             `json:"state"`
	Reason       Reason            `json:"reason,omitempty"`
	To           id.Pool           `json:"to,omitempty"`
	Wave         string            `json:"wave,omitempty"`
	Drain        int64             `json:"drain,omitempty"`   // offset of the drain in progress
	Emptied      int64             `json:"emptied,omitempty"` // offset of the last drain that was completed
	Cleared      id.Set[id.Member] `json:"cleared,omitempty"` // members that confirmed the drain
	Waves        id.Set[string]    `json:"waves,omitempty"`   // waves that have rebooted it
	Maintained   time.Time         `json:"maintained"`
	Moved        time.Time         `json:"moved"` // when it last changed its pool
}

// InstanceError reports a record that does not fit the state of its instance.
type InstanceError struct {
	Instance id.Instance
	Reason   string
}

// Error returns the instance and the reason.
func (e InstanceError) Error() string { return fmt.Sprintf("instance %s: %s", e.Instance, e.Reason) }

// BudgetError reports a planned stop that a pool's disruption budget does not allow.
type BudgetError struct {
	Pool          id.Pool
	Serving, Need int // instances
}

// Error returns the pool and its numbers.
func (e BudgetError) Error() string {
	return fmt.Sprintf("pool %s: %d instances serve and %d must", e.Pool, e.Serving, e.Need)
}

// CountServing returns how many instances of a pool are up in data centres that are not out.
func (t *Tables) CountServing(pool id.Pool) int {
	n := 0
	for _, instance := range t.Instances {
		if instance.Pool == pool && instance.State == Up && !t.rules.IsOut(instance.DataCentre) {
			n++
		}
	}
	return n
}

// CheckStop returns a BudgetError when one more planned stop in a pool would violate its disruption
// budget. Failed, rebooting, missing, draining and held instances count against the budget, and so do those in
// data centres that are out.
func (t *Tables) CheckStop(pool id.Pool) error {
	p, ok := t.rules.Pool(pool)
	if !ok || t.IgnoreBudget {
		return nil
	}
	serving := t.CountServing(pool)
	need := p.Size - p.Budget
	if serving-1 < need {
		return BudgetError{Pool: pool, Serving: serving, Need: need}
	}
	return nil
}

func (t *Tables) enroll(r Enroll) error {
	for _, listed := range r.Listed {
		instance, ok := t.Instances[listed.Instance]
		if !ok {
			instance = &Instance{State: Up, Maintained: t.Clock, Waves: id.Set[string]{}}
			instance.Pool = listed.Pool
			t.Instances[listed.Instance] = instance
		}
		instance.updateFrom(listed)
	}
	t.reassignToSparePool()
	return nil
}

func (i *Instance) updateFrom(listed store.ListedInstance) {
	i.Address = listed.Address
	i.DataCentre = listed.DataCentre
	i.Rack = listed.Rack
	i.Slots = listed.Slots
	i.Processors = listed.Processors
	i.MemoryBytes = listed.MemoryBytes
	i.Accelerators = listed.Accelerators
}

// MatchesListing reports whether an instance's entry in the tables agrees with the platform's listing;
// it does not compare Processors.
func (t *Tables) MatchesListing(listed store.ListedInstance) bool {
	instance, ok := t.Instances[listed.Instance]
	if !ok {
		return false
	}
	updated := *instance
	updated.updateFrom(listed)
	return updated.Address == instance.Address && updated.DataCentre == instance.DataCentre &&
		updated.Rack == instance.Rack && updated.Slots == instance.Slots &&
		updated.MemoryBytes == instance.MemoryBytes && updated.Accelerators == instance.Accelerators
}

// reassignToSparePool moves instances that are up and whose pool no rule defines into the spare pool.
func (t *Tables) reassignToSparePool() {
	spare, ok := t.rules.SparePool()
	if !ok {
		return
	}
	for _, name := range sortedKeys(t.Instances) {
		instance := t.Instances[name]
		if _, known := t.rules.Pool(instance.Pool); !known && instance.State == Up {
			instance.Pool = spare.Name
		}
	}
}

func (t *Tables) removeInstances(r Gone) error {
	for _, name := range r.Instances {
		delete(t.Instances, name)
	}
	return nil
}

func (t *Tables) findInstance(name id.Instance) (*Instance, error) {
	instance, ok := t.Instances[name]
	if !ok {
		return nil, InstanceError{Instance: name, Reason: "is not enrolled"}
	}
	return instance, nil
}

func (t *Tables) drain(offset int64, r Drain) error {
	instance, err := t.findInstance(r.Instance)
	if err != nil {
		return err
	}
	if instance.State != Up {
		return InstanceError{Instance: r.Instance, Reason: "is " + string(instance.State)}
	}
	if r.Reason == ForMove {
		if _, ok := t.rules.Pool(r.Pool); !ok || r.Pool == instance.Pool {
			return InstanceError{Instance: r.Instance, Reason: "cannot move to pool " + string(r.Pool)}
		}
	}
	// The budget does not apply to a leaving instance, because the platform removes it in any case.
	if r.Reason != ForLeave {
		if err := t.CheckStop(instance.Pool); err != nil {
			return err
		}
	}
	instance.State = Draining
	instance.Reason = r.Reason
	instance.To = r.Pool
	instance.Wave = r.Wave
	instance.Drain = offset
	instance.Cleared = id.Set[id.Member]{}
	return nil
}

func (t *Tables) clear(r Clear) error {
	if _, err := t.liveMember(r.Member); err != nil {
		return err
	}
	for _, drain := range r.Drains {
		instance, ok := t.Instances[drain.Instance]
		if ok && instance.State == Draining && instance.Drain == drain.Offset {
			instance.addClearance(r.Member)
		}
	}
	return nil
}

// addClearance records that a member has cleared the drain. The set can be nil, since a snapshot omits an empty set.
func (i *Instance) addClearance(member id.Member) {
	if i.Cleared == nil {
		i.Cleared = id.Set[id.Member]{}
	}
	i.Cleared.Add(member)
}

// finishDrains completes the drain of every instance that all members have cleared. The clearance of a
// lapsed member is required until its accounts are settled, since its tasks may hold leases until then.
func (t *Tables) finishDrains() {
	for _, name := range sortedKeys(t.Instances) {
		instance := t.Instances[name]
		if instance.State == Draining && t.isCleared(instance) {
			t.completeDrain(instance)
		}
	}
}

func (t *Tables) isCleared(instance *Instance) bool {
	for name := range t.Members {
		if !instance.Cleared.Has(name) {
			return false
		}
	}
	return len(t.Members) > 0
}

func (t *Tables) completeDrain(instance *Instance) {
	instance.Cleared = nil
	instance.Emptied = instance.Drain
	instance.Drain = 0
	switch instance.Reason {
	case ForMove:
		instance.Pool = instance.To
		instance.To = ""
		instance.Moved = t.Clock
		instance.State = Up
	case ForReboot:
		instance.State = Rebooting
	case ForHold, ForLeave:
		instance.State = Held
	}
}

func (t *Tables) fail(r Fail) error {
	for _, name := range r.Instances {
		instance, ok := t.Instances[name]
		if ok && instance.State == Up {
			instance.State = Failed
		}
	}
	return nil
}

func (t *Tables) restore(r Restore) error {
	for _, name := range r.Instances {
		instance, ok := t.Instances[name]
		if !ok || instance.State == Draining || instance.State == Up {
			continue
		}
		if instance.State == Rebooting {
			t.recordMaintenance(instance)
		}
		instance.State = Up
		instance.Reason = ""
		instance.Wave = ""
	}
	t.reassignToSparePool()
	return nil
}

func (t *Tables) recordMaintenance(instance *Instance) {
	instance.Maintained = t.Clock
	if instance.Wave == "" {
		return
	}
	if instance.Waves == nil {
		instance.Waves = id.Set[string]{}
	}
	instance.Waves.Add(instance.Wave)
}
