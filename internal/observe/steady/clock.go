package steady

import (
	"time"

	"golang.org/x/sys/unix"

	"marigoldshed.example/marigoldshed/internal/jobs/pool"
)

// Clock reads the system's clocks; it implements shard.Clock.
type Clock struct{}

// Moment returns the current time of CLOCK_BOOTTIME, which never jumps, and of the time of day.
func (Clock) Moment() pool.Moment {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		panic(err) // cannot happen: every kernel that this program runs on has CLOCK_BOOTTIME
	}
	return pool.Moment{Steady: time.Duration(since.Nano()), Wall: time.Now()}
}
