package pool

import (
	"slices"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// A worker that crashes says nothing, and its lease or its successor shows only seconds later that its runs are over. The
// instance service knows at once. The owner numbers each silence of a worker and asks whether the instance still has
// the worker; the reply counts only for that silence, however late it comes.

// Silence is a question about a worker that does not answer: whether its instance still has it.
type Silence struct {
	Worker, Instance string
	Number           int64 // unique among all owners of the pool
}

// silencesPerOwner is the most silences that one owner numbers.
const silencesPerOwner = 1 << 24

// recordUnanswered records that the worker did not answer a call, and that it had to do so by the given time.
func (p *Pool) recordUnanswered(at Moment, h *host, by time.Duration) {
	by = min(by, at.Steady)
	if h.silentSince == 0 {
		p.silences++
		h.silence = p.config.Fence*silencesPerOwner + p.silences%silencesPerOwner
	}
	if h.silentSince == 0 || by < h.silentSince {
		h.silentSince = by
	}
}

// Silences returns the silent workers on which this owner knows runs. An instance is listed without its worker until the
// worker has registered, so no question is asked about an incarnation that has not.
func (p *Pool) Silences() []Silence {
	var list []Silence
	for name, h := range p.workers {
		if h.silentSince > 0 && !h.ended && h.hasCurrentInfo() && h.info.Instance != "" && h.hasShownRun() {
			list = append(list, Silence{Worker: name, Instance: h.info.Instance, Number: h.silence})
		}
	}
	return list
}

// hasShownRun reports whether an answer of the worker has shown one of its runs, or one that was lost when it fell silent.
func (h *host) hasShownRun() bool {
	for _, r := range h.runs {
		if r.shownAt > 0 {
			return true
		}
	}
	return slices.ContainsFunc(h.open.runs, func(r *run) bool { return r.loss.certain })
}

// EndGone ends the runs of workers that their instances no longer have, given the numbers of the silences after which
// this was found. Runs that no answer of the worker has shown remain: their orders may still reach a worker that is back
// under the same id.
func (p *Pool) EndGone(at Moment, gone []int64) {
	if len(gone) == 0 {
		return
	}
	for _, h := range p.workers {
		if h.silentSince > 0 && !h.ended && slices.Contains(gone, h.silence) && h.hasShownRun() {
			p.endShownRuns(at, h)
		}
	}
}

func (p *Pool) endShownRuns(at Moment, h *host) {
	p.config.Observer.WorkerChanged(h.info.ID, "is gone from its instance")
	p.recordLoss(at, h, h.lossCause(), NotOnInstance)
	p.closeLosses(at, h, h.lossCause(), NotOnInstance)
	for _, r := range h.runs {
		if r.shownAt > 0 {
			p.ended(at, r, worker.End{Run: r.id, Outcome: worker.Lost}, Absent)
		}
	}
}
