package shard

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// A queue's route may move to another pool, while some instances still have an older configuration. Before the new pool
// accepts a job, the owner of each former one stores a seal: it accepts no more jobs of the route under older versions.
// An instance may have written such a job to the intake already and told its caller so; these jobs are forwarded.

// sealPrefix starts the keys of records in the output table that hold the lowest version under which a route's jobs are
// accepted.
const sealPrefix = "seal/"

// seal is the lowest version under which the jobs of a route are accepted.
type seal struct {
	version int64
	stored  <-chan struct{} // closed once the seal is stored
}

func sealRecord(route catalog.Route, version int64) stream.Record {
	return stream.Record{Key: sealPrefix + string(route), Value: []byte(strconv.FormatInt(version, 10))}
}

// loadSeal applies a stored seal and ignores other records.
func (s *Shard) loadSeal(r stream.Record) {
	route, ok := strings.CutPrefix(r.Key, sealPrefix)
	if !ok {
		return
	}
	version, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		s.config.Logger.Error("cannot decode the seal of a route", zap.String("key", r.Key), zap.Error(err))
		return
	}
	stored := make(chan struct{})
	close(stored)
	s.seals[catalog.Route(route)] = seal{version: version, stored: stored}
}

// isSealed reports whether a job was submitted under a version that its route's seal excludes.
func (s *Shard) isSealed(spec *job.Spec) bool { return spec.Version < s.seals[spec.Route].version }

// Seal tells whether the pool has a job, and stores that it accepts no job of the route under a version below the given one. A
// job that is Present is stored, too, and another answer knows the whole intake.
func (s *Shard) Seal(ctx context.Context, route catalog.Route, version int64, name job.ID) (job.Presence, error) {
	if err := s.awaitStarted(ctx); err != nil {
		return job.Absent, err
	}
	var presence job.Presence
	var stored <-chan struct{}
	var tail int64
	query := func(pool.Moment) {
		presence, tail = s.presence(name), s.intakeOffset
		if stored = s.raiseSeal(route, version); presence == job.Present {
			stored = s.storeSeal(route, s.seals[route].version) // after the job
		}
	}
	if err := s.do(ctx, query); err != nil {
		return job.Absent, err
	}
	if err := s.awaitStored(ctx, stored); err != nil || presence == job.Present {
		return presence, err
	}
	unread, err := s.readTail(ctx, tail, name)
	switch {
	case unread.cancelled:
		return job.Tombstone, err
	case unread.submitted && presence == job.Absent:
		return job.Forwarded, err
	}
	return presence, err
}

// raiseSeal raises the seal of a route to at least a version, and returns a channel that is closed once that is stored.
func (s *Shard) raiseSeal(route catalog.Route, version int64) <-chan struct{} {
	if current, ok := s.seals[route]; ok && current.version >= version {
		return current.stored
	}
	s.seals[route] = seal{version: version, stored: s.storeSeal(route, version)}
	s.config.Logger.Info("sealed a route that has moved", zap.String("pool", s.config.Pool), zap.String("route", string(route)), zap.Int64("version", version))
	return s.seals[route].stored
}

// storeSeal stores the seal of a route, and returns a channel that is closed once it is stored, and all before it.
func (s *Shard) storeSeal(route catalog.Route, version int64) <-chan struct{} {
	stored := make(chan struct{})
	s.pendingRecords = append(s.pendingRecords, sealRecord(route, version))
	s.callers = append(s.callers, stored)
	return stored
}

// takeSealed removes and returns those jobs of the intake that an excluded version has submitted and that have not started.
func (s *Shard) takeSealed(jobs map[job.ID]*pool.StoredState, cancelled []job.ID) []job.Spec {
	var sealed []job.Spec
	for name, j := range jobs {
		_, inIntake := s.intakeJobs.Load(name)
		waits := j.Spec.ID != "" && j.Progress == nil && !slices.Contains(cancelled, name)
		if inIntake && waits && s.isSealed(&j.Spec) {
			sealed = append(sealed, j.Spec)
			delete(jobs, name)
		}
	}
	return sealed
}

// presence tells what the pool knows of a job.
func (s *Shard) presence(name job.ID) job.Presence {
	spec := s.pool.Spec(name)
	_, forwarding := s.forwarding[name]
	switch {
	case spec != nil && !s.mayBeElsewhere(spec):
		return job.Present
	case s.pool.IsCancelled(name):
		return job.Tombstone
	case forwarding:
		return job.Forwarded
	}
	return job.Absent
}

// mayBeElsewhere reports whether a job that the pool has may be in another one, too: an earlier owner may have forwarded a job of
// an excluded version before it learned of the cancellation. A job that has completed or failed was never forwarded.
func (s *Shard) mayBeElsewhere(spec *job.Spec) bool {
	state, _ := s.pool.State(spec.ID)
	endedHere := state.Ended() && state != job.Cancelled
	return s.pool.IsCancelled(spec.ID) && s.isSealed(spec) && !endedHere
}

// has reports whether the pool has a job, or forwards it.
func (s *Shard) has(name job.ID) bool {
	_, forwarding := s.forwarding[name]
	return forwarding || s.pool.Spec(name) != nil
}

// mustForward reports whether a job that came to the intake belongs to another pool. A cancelled one stays here.
func (s *Shard) mustForward(spec *job.Spec) bool {
	return s.checkSeal(spec) != nil && !s.pool.IsCancelled(spec.ID)
}

// checkSeal returns a SealedError for a job that the pool must not accept, and a forwardedError for one that came to the
// intake and is on its way to another pool.
func (s *Shard) checkSeal(spec *job.Spec) error {
	if _, known := s.pool.State(spec.ID); known || !s.isSealed(spec) {
		return nil
	}
	if _, forwarding := s.forwarding[spec.ID]; forwarding {
		return forwardedError{}
	}
	return SealedError{Pool: s.config.Pool}
}

// forwardedError reports a job that was accepted here and is on its way to another pool.
type forwardedError struct{}

// Error returns a fixed text.
func (forwardedError) Error() string { return "shard: the job is being forwarded to another pool" }

// SealedError reports a job that was not accepted because a newer configuration sends its route to another pool.
type SealedError struct{ Pool string }

// Error returns a message with the pool.
func (e SealedError) Error() string { return "shard: a route has moved away from pool " + e.Pool }

// forward hands a job that came to the intake under an excluded version to the pool that its route belongs to now.
func (s *Shard) forward(ctx context.Context, spec job.Spec) {
	if _, started := s.forwarding[spec.ID]; started {
		return
	}
	s.forwarding[spec.ID] = spec.Route
	s.config.Logger.Info("forwarding a job of a route that has moved", zap.String("pool", s.config.Pool), zap.String("job", string(spec.ID)), zap.Int64("version", spec.Version))
	f := &forwarding{shard: s, spec: spec}
	s.inFlight.Go(func() { f.run(ctx) })
}

// forwardedPending returns the number of jobs of a route that are on their way to another pool and not cancelled.
func (s *Shard) forwardedPending(route catalog.Route) int {
	count := 0
	for name, of := range s.forwarding {
		if of == route && !s.pool.IsCancelled(name) {
			count++
		}
	}
	return count
}

// forwarding is a job on its way to another pool.
type forwarding struct {
	shard *Shard
	spec  job.Spec
}

func (f *forwarding) run(ctx context.Context) {
	s := f.shard
	if err := s.config.Forward(ctx, f.spec); err != nil {
		s.config.Logger.Info("stopped forwarding a job", zap.String("job", string(f.spec.ID)), zap.Error(err))
		return // a successor finds the job in the intake
	}
	s.post(ctx, func(pool.Moment) {
		delete(s.forwarding, f.spec.ID)
		if s.pool.Spec(f.spec.ID) == nil { // otherwise its route has come back
			s.expiredJobs = append(s.expiredJobs, f.spec.ID)
		}
	})
}
