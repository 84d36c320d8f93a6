package entry

import (
	"context"
	"sort"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
)

// Status is what one entry instance knows about the whole system.
type Status struct {
	Member    id.Member        `json:"member"`
	Version   int              `json:"version"`
	Offset    int64            `json:"offset"`
	Age       float64          `json:"age"` // seconds since the tables were last known to be current
	Fenced    string           `json:"fenced,omitempty"`
	Members   []MemberStatus   `json:"members"`
	Instances []InstanceStatus `json:"instances"`
	Pools     []PoolStatus     `json:"pools"`
	Teams     []TeamStatus     `json:"teams"`
	Pending   []PendingStatus  `json:"pending,omitempty"`
}

// MemberStatus is the known state of one member.
type MemberStatus struct {
	Member         id.Member     `json:"member"`
	DataCentre     id.DataCentre `json:"dc"`
	Version        int           `json:"version"` // version of the rules in force there
	Offset         int64         `json:"offset"`
	SinceHeartbeat float64       `json:"silent"` // seconds since its newest heartbeat; -1 for never
	Lapsed         bool          `json:"lapsed,omitempty"`
}

// InstanceStatus is the state of one instance in the tables.
type InstanceStatus struct {
	Instance           id.Instance   `json:"instance"`
	DataCentre         id.DataCentre `json:"dc"`
	Rack               id.Rack       `json:"rack"`
	Pool               id.Pool       `json:"pool"`
	State              fleet.State   `json:"state"`
	Slots              int           `json:"slots"`
	UnconfirmedMembers []id.Member   `json:"waits,omitempty"` // members that have not confirmed its drain
}

// PoolStatus holds the size, budget and demand of one pool.
type PoolStatus struct {
	Pool    id.Pool `json:"pool"`
	Size    int     `json:"size"`
	Budget  int     `json:"budget"`
	Serving int     `json:"serving"`
	Demand  int     `json:"demand"` // slots in use or waited for, across all members in contact
}

// TeamStatus holds the share, limit and demand of one team.
type TeamStatus struct {
	Team    id.Team `json:"team"`
	Share   int     `json:"share"`
	Limit   int     `json:"limit"`
	Running int     `json:"running"` // slots in use, across all members in contact
	Waiting int     `json:"waiting"`
}

// PendingStatus is a restriction that the log has not confirmed, with the members that may not have received it.
type PendingStatus struct {
	ID      string      `json:"id"`
	By      string      `json:"by"`
	Age     float64     `json:"age"` // seconds
	Unaware []id.Member `json:"unaware,omitempty"`
}

// Status returns the status of this instance.
func (c *Control) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, func() { s = c.status(time.Now()) })
	return s, errors.Trace(err)
}

// Rules returns the version and the text of the rules in force.
func (c *Control) Rules(ctx context.Context) (int, string, error) {
	var version int
	var text string
	err := c.do(ctx, func() {
		version = c.tables.Version
		text = c.tables.Text
	})
	return version, text, errors.Trace(err)
}

func (c *Control) status(now time.Time) Status {
	s := Status{Member: c.self, Version: c.view.Load().version, Offset: c.tables.Offset, Age: now.Sub(c.lease.freshAt).Seconds()}
	if err := c.checkStart(now); err != nil {
		s.Fenced = err.Error()
	}
	s.Members = c.memberStatus(now)
	s.Instances = c.instanceStatus()
	demand := c.demandByPool(now)
	for _, p := range c.tables.Rules().Pools {
		s.Pools = append(s.Pools, PoolStatus{
			Pool: p.Name, Size: p.Size, Budget: p.Budget, Serving: c.tables.CountServing(p.Name), Demand: demand[p.Name],
		})
	}
	s.Teams = c.teamStatus(now)
	for _, r := range c.pendingRestrictions {
		s.Pending = append(s.Pending, PendingStatus{
			ID: r.message.ID, By: r.message.By, Age: now.Sub(r.since).Seconds(), Unaware: c.unaware(r),
		})
	}
	return s
}

func (c *Control) memberStatus(now time.Time) []MemberStatus {
	var list []MemberStatus
	for name, m := range c.tables.Members {
		status := MemberStatus{Member: name, DataCentre: m.DataCentre, SinceHeartbeat: -1, Lapsed: m.Lapsed}
		if r, ok := c.remotes[name]; ok && !r.lastHeard.IsZero() {
			status.SinceHeartbeat = now.Sub(r.lastHeard).Seconds()
			status.Version = r.heartbeat.Version
			status.Offset = r.heartbeat.Offset
		}
		if name == c.self {
			status.SinceHeartbeat = 0
			status.Version = c.view.Load().version
			status.Offset = c.tables.Offset
		}
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Member < list[j].Member })
	return list
}

func (c *Control) instanceStatus() []InstanceStatus {
	var list []InstanceStatus
	for name, instance := range c.tables.Instances {
		status := InstanceStatus{
			Instance: name, DataCentre: instance.DataCentre, Rack: instance.Rack,
			Pool: instance.Pool, State: instance.State, Slots: instance.Slots,
		}
		if instance.State == fleet.Draining {
			for member := range c.tables.Members {
				if !instance.Cleared.Has(member) {
					status.UnconfirmedMembers = append(status.UnconfirmedMembers, member)
				}
			}
		}
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

func (c *Control) teamStatus(now time.Time) []TeamStatus {
	_, demands := c.memberDemands(now)
	var list []TeamStatus
	for _, team := range c.tables.Rules().Teams {
		status := TeamStatus{Team: team.Name, Share: team.Share, Limit: team.Limit}
		for _, d := range demands {
			if d.Team == team.Name {
				status.Running += d.Running
				status.Waiting += d.Waiting
			}
		}
		list = append(list, status)
	}
	return list
}

// unaware returns the live members whose heartbeats do not carry a restriction.
func (c *Control) unaware(r *restriction) []id.Member {
	var list []id.Member
	for _, name := range c.tables.Live() {
		if name == c.self {
			continue
		}
		aware := false
		if remote, ok := c.remotes[name]; ok {
			for _, received := range remote.heartbeat.Restrictions {
				aware = aware || received.ID == r.message.ID
			}
		}
		if !aware {
			list = append(list, name)
		}
	}
	return list
}

// RenewalOf returns the sequence number of a live member's newest lease renewal. It returns fleet.MemberError if there
// is no such member.
func (c *Control) RenewalOf(ctx context.Context, member id.Member) (int, error) {
	seq := 0
	var missing error
	err := c.do(ctx, func() {
		if !c.tables.IsLive(member) {
			missing = fleet.MemberError{Member: member, Reason: "is not live"}
			return
		}
		seq = c.tables.Members[member].Seq
	})
	if err == nil {
		err = missing
	}
	return seq, errors.Trace(err)
}
