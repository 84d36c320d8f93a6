package measure

import (
	"image/color"
	"runtime"
	"syscall"
	"time"

	"github.com/juju/errors"
)

func plotColors() []color.Color {
	return []color.Color{color.RGBA{R: 40, G: 90, B: 160, A: 255}, color.RGBA{R: 200, G: 130, B: 40, A: 255}}
}

// usage is the resource usage of this process up to a moment.
type usage struct {
	at     time.Time
	cpu    time.Duration
	allocs uint64
}

func currentUsage() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, errors.Annotate(err, "reading the process's usage")
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), allocs: m.Mallocs}, nil
}

// liveHeapBytes returns the size of live heap objects in bytes.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
