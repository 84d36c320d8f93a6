package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// loopback returns an address of this process's own. Instances and links have addresses of equal length, so that one can
// replace the other in any record.
func loopback(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, last)
}

func instanceIP(n int) string { return loopback(100 + n) }

func linkIP(from, to int) string { return loopback(110 + 10*from + to) }

// link is the way from one instance to another. It forwards messages rather than bytes, because answers that hold reads of
// the store (one instance may read for another) must show the addresses that the reader knows.
type link struct {
	reader *view // the store as the first instance sees it
	proxy  httputil.ReverseProxy

	mu    sync.Mutex
	fault fault
}

// links are those from each instance (the first index) to each other one.
type links [][]*link

// newLinks returns the links between instances with the given views.
func newLinks(t *testing.T, views []*view) links {
	t.Helper()
	l := make(links, len(views))
	for from, reader := range views {
		for to := range views {
			k := &link{reader: reader}
			target := &url.URL{Scheme: "http", Host: fmt.Sprintf("%s:%d", instanceIP(to), peerPort)}
			k.proxy = httputil.ReverseProxy{
				Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}, Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target) },
				ModifyResponse: k.translate, ErrorLog: log.New(io.Discard, "", 0),
			}
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("%s:%d", linkIP(from, to), peerPort))
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: k, ReadHeaderTimeout: time.Second}
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(listener) }()
			l[from] = append(l[from], k)
		}
	}
	return l
}

func (k *link) setFault(f fault) {
	k.mu.Lock()
	k.fault = f
	k.mu.Unlock()
}

// await waits while one of the faults is in force.
func (k *link) await(blocking ...fault) {
	for {
		k.mu.Lock()
		blocked := slices.Contains(blocking, k.fault)
		k.mu.Unlock()
		if !blocked {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ServeHTTP forwards a call. A call that was held back arrives late, also when its caller has given up.
func (k *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.await(blackhole)
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Header.Del("Accept-Encoding") // the answer is to be translated
	late.Body = io.NopCloser(bytes.NewReader(body))
	k.proxy.ServeHTTP(w, late)
}

// translate shows the caller the addresses that it knows; they have equal lengths.
func (k *link) translate(r *http.Response) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	k.await(blackhole, blockReplies)
	r.Body = io.NopCloser(bytes.NewReader(k.reader.toLinks(k.reader.toInstances(body))))
	return nil
}

// cut sets what happens to the calls that an instance makes to the others and to those that the others make to it.
func (l links) cut(n int, opened, accepted fault) {
	for other := range l {
		l[n][other].setFault(opened)
		l[other][n].setFault(accepted)
	}
}

// view is the store as one instance sees it: with the addresses of its links in place of those of the other instances.
type view struct {
	store     *store
	shown     *strings.Replacer
	stored    *strings.Replacer
	readsHeld bool // no read of this instance is answered; guarded by the store's lock
}

// newView returns the view of an instance, which is linked to the others or reaches them directly.
func newView(s *store, self int, linked bool) *view {
	var shown, stored []string
	for from := range instances {
		for to := range instances {
			if !linked {
				continue
			}
			stored = append(stored, linkIP(from, to), instanceIP(to))
			if from == self && to != self {
				shown = append(shown, instanceIP(to), linkIP(from, to))
			}
		}
	}
	return &view{store: s, shown: strings.NewReplacer(shown...), stored: strings.NewReplacer(stored...)}
}

// toLinks returns data of the store as the instance sees it.
func (v *view) toLinks(data []byte) []byte { return []byte(v.shown.Replace(string(data))) }

// toInstances returns data of the instance as the store keeps it.
func (v *view) toInstances(data []byte) []byte { return []byte(v.stored.Replace(string(data))) }

func (v *view) holdReads(held bool) {
	v.store.mu.Lock()
	v.readsHeld = held
	v.store.mu.Unlock()
}

// holdIntake holds back the answers to all reads of a pool's intake, whoever reads.
func (s *store) holdIntake(pool string, held bool) {
	s.mu.Lock()
	s.heldReads["keyed.jobs."+pool+"/0"] = held
	s.mu.Unlock()
}

// ownerOf returns the address of the newest owner of a shard.
func (s *store) ownerOf(shard string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner := ""
	for _, r := range s.partition("keyed.owners", 0).records {
		if r.key == shard {
			owner = string(r.value)
		}
	}
	return owner
}

// Numbers of kinds of faults: those of every seed, and those of seeds with links.
const (
	unlinkedKinds = 18
	linkKinds     = 6
)

// deafTime is how long an owner is deaf, in addition to the random duration of the fault.
const deafTime = 3700 * time.Millisecond

func (s *simulation) drawPool() string { return []string{"p1", "p2"}[s.random.IntN(2)] }

// pickCut cuts an instance off from the others, which all still reach the store and the workers.
func (s *simulation) pickCut(i *instance) (name string, inject, remove func()) {
	n := s.index(i)
	join := func() { s.links.cut(n, noFault, noFault) }
	switch s.random.IntN(3) {
	case 0:
		return i.name + " is cut off from the other instances", func() { s.links.cut(n, blackhole, blackhole) }, join
	case 1:
		return "nothing of " + i.name + " reaches the other instances", func() { s.links.cut(n, blackhole, blockReplies) }, join
	}
	return "nothing of the other instances reaches " + i.name, func() { s.links.cut(n, blockReplies, blackhole) }, join
}

// deafenOwner cuts the owner of a pool off from the other instances and holds back its reads of the pool's intake, while
// its appends are carried out and it reaches the workers.
func (s *simulation) deafenOwner(pool string) (name string, inject, remove func()) {
	owner := s.instances[0]
	for _, i := range s.instances {
		if strings.HasPrefix(s.store.ownerOf(pool), i.ip+":") {
			owner = i
		}
	}
	n := s.index(owner)
	extra := deafTime + time.Duration(s.random.IntN(2500))*time.Millisecond
	inject = func() {
		s.links.cut(n, blackhole, blackhole)
		s.store.holdIntake(pool, true)
	}
	remove = func() {
		time.Sleep(extra)
		s.links.cut(n, noFault, noFault)
		s.store.holdIntake(pool, false)
	}
	return fmt.Sprintf("%s, owner of %s, is cut off from the other instances and reads nothing of its intake, and %v longer,", owner.name, pool, extra), inject, remove
}

func (s *simulation) removeCuts() {
	for _, pool := range []string{"p1", "p2"} {
		s.store.holdIntake(pool, false)
	}
	for n := range s.links {
		s.links.cut(n, noFault, noFault)
	}
}
