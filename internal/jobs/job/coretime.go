package job

import "time"

// CoreUnits is the number of capacity units of one core.
const CoreUnits = 1000

// CoreTime is work as the seconds that one core needs for it. A day's work of hundreds of instances overflows a
// time.Duration.
type CoreTime float64

// WorkOn returns the work that an amount of CPU, in thousandths of a core, does in a time.
func WorkOn(cpu int, length time.Duration) CoreTime {
	return CoreTime(float64(cpu) / CoreUnits * length.Seconds())
}

// MaxWait bounds estimated waits, so that they can be added to times.
const MaxWait = 1000 * time.Hour

// TimeOn returns how long an amount of CPU, in thousandths of a core, takes for the work, at most MaxWait.
func (w CoreTime) TimeOn(cpu int) time.Duration {
	seconds := float64(w) * CoreUnits / float64(cpu)
	if seconds >= MaxWait.Seconds() {
		return MaxWait
	}
	return time.Duration(seconds * float64(time.Second))
}
