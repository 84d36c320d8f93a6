package main

import (
	"fmt"
	"strings"
	"time"
)

// Machines of the case of the wave: the wave has some that were there before, and the two that have joined last.
const (
	waveMachines = 12
	waveServing  = 3
	waveFirst    = 9
	waveLast     = 14
	waveTimeout  = 70 * time.Second
	outage       = 5 * time.Second
)

func machineName(n int) string { return fmt.Sprintf("m%02d", n) }

// playWave lets two machines join and then announces a wave with them. With the disruption, the platform's service of machines is
// down for 5 s, from just before they join. The rule is MIXED: the wave is said to be completed, and a machine of it that
// stays hasn't begun its upkeep.
func playWave(w *world) (bool, error) {
	w.cloud.duration = func(string) time.Duration { return 300 * time.Millisecond }
	for n := 1; n <= waveMachines; n++ {
		pool := spareName
		if n > waveMachines-waveServing {
			pool = poolName
		}
		if err := w.cloud.add(machineName(n), pool, "z1"); err != nil {
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
		w.cloud.setDown(true)
		time.AfterFunc(outage, func() { w.cloud.setDown(false) })
		time.Sleep(500 * time.Millisecond)
	}
	for n := waveMachines + 1; n <= waveLast; n++ {
		if err := w.cloud.add(machineName(n), spareName, "z1"); err != nil {
			return false, err
		}
		w.note("%s has joined", machineName(n))
	}
	time.Sleep(1500 * time.Millisecond)
	w.note("wave 1 is announced: %s", strings.Join(members, " "))
	w.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": members, "finish_by_s": 60, "cap": 2})
	return w.awaitWave(members)
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
