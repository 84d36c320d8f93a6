package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Machines of the case of the wave, in pages of four; the wave has the machines from the fifth to the tenth.
const (
	waveMachines = 12
	waveServing  = 3
	wavePage     = 4
	waveFirst    = 5
	waveLast     = 10
	waveTimeout  = 70 * time.Second
	slowAnswer   = 200 * time.Millisecond // 50 times 4 ms
	leaveGap     = 1300 * time.Millisecond
)

func machineName(n int) string { return fmt.Sprintf("m%02d", n) }

// playWave announces a wave. With the disruption, the platform is slow and three machines that are not of the wave leave for
// good while the list of machines is read again and again. The rule is MIXED: the wave is said to be completed, and a machine
// of it that stays hasn't begun its upkeep.
func playWave(w *world) (bool, error) {
	w.cloud.pageSize = wavePage
	w.cloud.duration = func(string) time.Duration { return 300 * time.Millisecond }
	for n := 1; n <= waveMachines; n++ {
		pool := spareName
		if n > waveMachines-waveServing {
			pool = poolName
		}
		if _, err := w.cloud.add(machineName(n), pool); err != nil {
			return false, err
		}
	}
	var members []string
	for n := waveFirst; n <= waveLast; n++ {
		members = append(members, machineName(n))
	}
	w.cloud.wave = members
	w.store.onPut = func(topic, key string, value []byte) {
		if isWave(topic, key) {
			w.note("status %s: %s", key, value)
		}
	}
	if err := w.start(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.cloud.delay = slowAnswer
		w.note("the platform's answers on machines take %v from now on", slowAnswer)
	}
	w.note("wave 1 is announced: %s", strings.Join(members, " "))
	w.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": members, "finish_by_s": 60, "cap": 2})
	if w.trouble {
		w.leave()
	}
	return w.awaitWave(members)
}

// leave takes three machines of the first page away for good, one after the other.
func (w *world) leave() {
	for n := 2; n <= wavePage; n++ {
		time.Sleep(leaveGap + time.Duration(rand.IntN(400))*time.Millisecond)
		w.cloud.remove(machineName(n))
		w.note("%s leaves for good", machineName(n))
	}
}

// awaitWave waits until the wave is said to be completed, and reports whether a machine of it has not begun its upkeep.
func (w *world) awaitWave(members []string) (bool, error) {
	for until := time.Now().Add(waveTimeout); ; time.Sleep(100 * time.Millisecond) {
		if strings.Contains(w.store.newestValue("status", "wave/1"), "completed") {
			break
		}
		if time.Now().After(until) {
			return false, fmt.Errorf("%w: the wave is not completed", errNotRun)
		}
	}
	isBroken := false
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, name := range members {
		if m := w.cloud.find(name); m != nil && !m.upkeep {
			isBroken = true
			w.note("the wave is said to be completed, and %s has not begun its upkeep", name)
		}
	}
	return isBroken, nil
}
