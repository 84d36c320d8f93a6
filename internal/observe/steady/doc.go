// Package steady reads the system's clocks: one that goes on while the machine is suspended and never
// jumps, and the time of day.
package steady
