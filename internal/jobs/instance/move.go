package instance

import (
	"context"
	"slices"
	"strings"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// formerPrefix starts the keys of records in the table of owners that store the former pools of a queue, newest last.
// They are in that table because all instances follow it.
const formerPrefix = "former/"

// maxFormer is the maximum number of former pools that are stored per queue.
const maxFormer = 4

// recordMoves records the former pools of queues that move, since their jobs stay there. The caller holds the lock.
func (n *Instance) recordMoves(before, after *catalog.Config) {
	for _, old := range before.Queues {
		i := slices.IndexFunc(after.Queues, func(q catalog.Queue) bool { return q.Name == old.Name })
		if i < 0 || after.Queues[i].Pool == old.Pool {
			continue
		}
		n.config.Logger.Info("queue moved", zap.String("queue", old.Name), zap.String("from", old.Pool), zap.String("to", after.Queues[i].Pool))
		n.addFormer(old.Name, old.Pool)
		n.unsavedMoves = append(n.unsavedMoves, old.Name)
	}
}

// addFormer adds a former pool of a queue as the newest. The caller holds the lock.
func (n *Instance) addFormer(queue, pool string) {
	known := slices.DeleteFunc(n.formerPools[queue], func(p string) bool { return p == pool })
	known = append(known, pool)
	n.formerPools[queue] = known[max(0, len(known)-maxFormer):]
}

// applyFormer applies the former pools of a queue that an instance has stored.
func (n *Instance) applyFormer(queue string, r stream.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pool := range strings.Fields(string(r.Value)) {
		if !slices.Contains(n.formerPools[queue], pool) {
			n.addFormer(queue, pool)
		}
	}
}

// saveMoves stores the former pools of the queues that this instance has seen moving, for instances that start later.
// An instance that owns no shard leaves this to the others. The caller holds the lock.
func (n *Instance) saveMoves(ctx context.Context) {
	if len(n.unsavedMoves) == 0 {
		return
	}
	var records []stream.Record
	for _, queue := range n.unsavedMoves {
		records = append(records, stream.Record{Key: formerPrefix + queue, Value: []byte(strings.Join(n.formerPools[queue], " "))})
	}
	n.unsavedMoves = nil
	if len(n.shards) > 0 {
		go (&movesWriter{instance: n, records: records}).run(ctx)
	}
}

// movesWriter writes the former pools of queues to the table of owners.
type movesWriter struct {
	instance *Instance
	records  []stream.Record
}

// run retries until the records are stored or the timeout ends.
func (t *movesWriter) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := t.instance.config.Log.Append(ctx, ownerTable(), t.records, nil)
		if err == nil {
			return
		}
		t.instance.config.Logger.Warn("could not store the former pools of queues", zap.Error(err))
		sleep(ctx, retryDelay)
	}
}
