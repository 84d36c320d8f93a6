package trial

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/queue"
)

// Deployment describes the fleet of one user and the work sent to it.
type Deployment struct {
	Name        string
	DataCentres []id.DataCentre
	Pools       []PoolShape
	Teams       []TeamShape
	Spares      int // instances in the spare pool
	Slots       int // slots of each worker
	PerRack     int // workers in each rack
	Entries     int // entry instances in each data centre
}

// PoolShape is one pool and the queue in front of it.
type PoolShape struct {
	Pool    id.Pool
	Queue   id.Queue
	Class   queue.Class
	Workers int
	Budget  int
	Task    time.Duration // mean run time of a task
}

// TeamShape is one team and its fraction of the work of every queue.
type TeamShape struct {
	Team   id.Team
	Share  int
	Limit  int
	Weight float64 // fraction of the requests
}

// sparePool is the name of the spare pool in both deployments.
const sparePool id.Pool = "admin"

// DeploymentOf returns the deployment with the given name, or a NotFound error if there is none.
func DeploymentOf(name string) (Deployment, error) {
	switch name {
	case "tambuli":
		return tambuli(), nil
	case "tuul":
		return tuul(), nil
	}
	return Deployment{}, errors.NotFoundf("deployment %q", name)
}

func tambuli() Deployment {
	return Deployment{
		Name:        "tambuli",
		DataCentres: []id.DataCentre{"cebu-1", "cebu-2", "bohol-1"},
		Pools: []PoolShape{
			{Pool: "counter", Queue: "prices", Class: queue.Urgent, Workers: 10, Budget: 3, Task: 120 * time.Millisecond},
			{Pool: "stock", Queue: "stock", Class: queue.Urgent, Workers: 10, Budget: 3, Task: 120 * time.Millisecond},
			{Pool: "orders", Queue: "orders", Class: queue.Urgent, Workers: 9, Budget: 3, Task: 150 * time.Millisecond},
			{Pool: "lots", Queue: "lots", Class: queue.Overnight, Workers: 8, Budget: 2, Task: 250 * time.Millisecond},
			{Pool: "ledger", Queue: "ledger", Class: queue.Overnight, Workers: 8, Budget: 2, Task: 250 * time.Millisecond},
		},
		Teams: []TeamShape{
			{Team: "carabao", Share: 4, Limit: 200, Weight: .3},
			{Team: "goatskin", Share: 3, Limit: 160, Weight: .3},
			{Team: "custom", Share: 2, Limit: 100, Weight: .2},
			{Team: "franchise", Share: 1, Limit: 60, Weight: .1},
			{Team: "tannery", Share: 1, Limit: 60, Weight: .05},
			{Team: "office", Share: 1, Limit: 40, Weight: .05},
		},
		Spares: 5, Slots: 8, PerRack: 4, Entries: 2,
	}
}

func tuul() Deployment {
	return Deployment{
		Name:        "tuul",
		DataCentres: []id.DataCentre{"ulaan-1", "ulaan-2", "ulaan-3"},
		Pools: []PoolShape{
			{Pool: "quotes", Queue: "quotes", Class: queue.Urgent, Workers: 10, Budget: 3, Task: 120 * time.Millisecond},
			{Pool: "desk", Queue: "desk", Class: queue.Urgent, Workers: 10, Budget: 3, Task: 120 * time.Millisecond},
			{Pool: "proofs", Queue: "proofs", Class: queue.Overnight, Workers: 9, Budget: 3, Task: 250 * time.Millisecond},
			{Pool: "invoices", Queue: "invoices", Class: queue.Overnight, Workers: 8, Budget: 2, Task: 200 * time.Millisecond},
			{Pool: "layout", Queue: "layout", Class: queue.Overnight, Workers: 8, Budget: 2, Task: 250 * time.Millisecond},
		},
		Teams: []TeamShape{
			{Team: "khan", Share: 1, Limit: 160, Weight: .25},
			{Team: "tuya", Share: 1, Limit: 160, Weight: .25},
			{Team: "altai", Share: 1, Limit: 160, Weight: .2},
			{Team: "gobi", Share: 1, Limit: 160, Weight: .2},
			{Team: "front", Share: 1, Limit: 40, Weight: .05},
			{Team: "back", Share: 1, Limit: 40, Weight: .05},
		},
		Spares: 5, Slots: 8, PerRack: 4, Entries: 2,
	}
}

// Secret returns the secret of the key that a team uses in trials.
func Secret(team id.Team) string { return "trial-secret-of-" + string(team) }

// Rules returns the rules file of the deployment.
func (d Deployment) Rules() string {
	var b strings.Builder
	for _, p := range d.Pools {
		fmt.Fprintf(&b, "pool %s size=%d budget=%d # the trial\n", p.Pool, p.Workers, p.Budget)
	}
	fmt.Fprintf(&b, "spare %s size=%d budget=%d # the trial\n", sparePool, d.Spares, d.Spares)
	var names []string
	for _, t := range d.Teams {
		fmt.Fprintf(&b, "team %s share=%d limit=%d # the trial\n", t.Team, t.Share, t.Limit)
		names = append(names, string(t.Team))
	}
	for _, p := range d.Pools {
		fmt.Fprintf(&b, "queue %s pool=%s for=%s # the trial\n", p.Queue, p.Pool, strings.Join(names, ","))
	}
	for _, t := range d.Teams {
		fmt.Fprintf(&b, "key k-%s team=%s hash=%s # the trial\n", t.Team, t.Team, entry.HashKey(Secret(t.Team)))
	}
	return b.String()
}
