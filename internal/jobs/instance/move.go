package instance

import (
	"context"
	"slices"
	"strings"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// formerPrefix stands before the name of a queue that has changed its pool, in the table of owners, which all instances
// follow; the value names the pools that it had, newest last.
const formerPrefix = "former/"

// maxFormer bounds the pools that are remembered of one queue.
const maxFormer = 4

// noteMoves remembers the pools that queues are taken from, where their jobs stay; the caller holds the lock.
func (n *Instance) noteMoves(before, after *catalog.Config) {
	for _, old := range before.Queues {
		i := slices.IndexFunc(after.Queues, func(q catalog.Queue) bool { return q.Name == old.Name })
		if i < 0 || after.Queues[i].Pool == old.Pool {
			continue
		}
		n.config.Logger.Info("queue moved", zap.String("queue", old.Name), zap.String("from", old.Pool), zap.String("to", after.Queues[i].Pool))
		n.addFormer(old.Name, old.Pool)
		n.untold = append(n.untold, old.Name)
	}
}

// addFormer notes that a queue had a pool; the caller holds the lock.
func (n *Instance) addFormer(queue, pool string) {
	known := slices.DeleteFunc(n.former[queue], func(p string) bool { return p == pool })
	known = append(known, pool)
	n.former[queue] = known[max(0, len(known)-maxFormer):]
}

// takeFormer takes in the pools that a queue had, as another instance has seen it.
func (n *Instance) takeFormer(queue string, r stream.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pool := range strings.Fields(string(r.Value)) {
		if !slices.Contains(n.former[queue], pool) {
			n.addFormer(queue, pool)
		}
	}
}

// tellMoves stores what this instance has seen of queues that changed their pools, so that those which start later know
// it; one that owns no unit leaves that to the others. The caller holds the lock.
func (n *Instance) tellMoves(ctx context.Context) {
	if len(n.untold) == 0 {
		return
	}
	var records []stream.Record
	for _, queue := range n.untold {
		records = append(records, stream.Record{Key: formerPrefix + queue, Value: []byte(strings.Join(n.former[queue], " "))})
	}
	n.untold = nil
	if len(n.shards) > 0 {
		go (&telling{instance: n, records: records}).run(ctx)
	}
}

// telling stores the former pools of queues.
type telling struct {
	instance *Instance
	records  []stream.Record
}

// run tries again until the store has the records or the time is over.
func (t *telling) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for ctx.Err() == nil {
		_, err := t.instance.config.Log.Append(ctx, ownerTable(), t.records, nil)
		if err == nil {
			return
		}
		t.instance.config.Logger.Warn("could not store the former pools of queues", zap.Error(err))
		sleep(ctx, tryPause)
	}
}
