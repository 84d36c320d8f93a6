package untrusted

import (
	"fmt"
	"iter"
	"strings"
	"testing"
	"time"
)

// Crowds of whole, legal requests of an entry instance.
const (
	taskClients   = 100
	tasksEach     = 10
	taskBytes     = 200_000
	keyClients    = 100
	keysEach      = 1_500
	longKey       = 200 // bytes, the longest idempotency key
	waitingQueue  = "waiting"
	waitingQueues = "pool idle size=1 budget=1 # Maria\nqueue " + waitingQueue + " pool=idle open for=red # Maria\n"
)

// requestForm is a crowd of clients of which each makes many whole, legal requests one after the other on its connection.
type requestForm struct {
	name     string
	clients  int
	requests int // of each client
	message  func(client, number int) string
}

var requestForms = []requestForm{
	{name: "tasks that wait", clients: taskClients, requests: tasksEach, message: func(int, int) string {
		return postMessage("/v1/queues/"+waitingQueue+"/tasks", strings.Repeat("x", taskBytes), "")
	}},
	{name: "idempotency keys", clients: keyClients, requests: keysEach, message: func(client, number int) string {
		key := fmt.Sprintf("%0*d", longKey, client*keysEach+number)
		return postMessage("/v1/queues/visitors", "x", "Idempotency-Key: "+key+"\r\n")
	}},
}

func postMessage(path, body, header string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", path, host, header, len(body), body)
}

// TestAcceptedTasks guards against clients that exhaust the memory of an entry instance by whole, legal requests: by the tasks that it
// accepts for a pool without workers, and by the idempotency keys that it remembers.
func TestAcceptedTasks(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	binary := buildBinary(t)
	for _, f := range requestForms {
		t.Run(f.name, func(t *testing.T) {
			p := startEntry(t, binary)
			connections, answers := f.sequence().send()
			t.Logf("answers by status: %v", answers)
			time.Sleep(holdTime)
			p.awaitAll(t, "beside the open connections")
			p.check(t)
			for _, c := range connections {
				_ = c.Close()
			}
			p.awaitAll(t, "after the load")
			p.check(t)
		})
	}
}

// sequence returns the crowd of the form.
func (f requestForm) sequence() sequence {
	return sequence{address: fmt.Sprintf("%s:%d", instanceIP, callersPort), clients: f.clients, messages: f.messages}
}

// messages returns what one client sends.
func (f requestForm) messages(client int) iter.Seq[string] {
	return func(yield func(string) bool) {
		for n := range f.requests {
			if !yield(f.message(client, n)) {
				return
			}
		}
	}
}

// Requests that wait for a pool without workers.
const (
	waitingBytes = 200_000
	otherQueue   = "others" // of another team
	otherTeam    = "team blue share=1 limit=100000 # Maria\nqueue " + otherQueue + " pool=web open for=blue # Maria\n"
)

// TestRequestsThatWait guards against requests that wait for as long as their callers allow, and that exhaust the memory of an entry
// instance or keep out the requests of other teams.
func TestRequestsThatWait(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	binary := buildBinary(t)
	for _, length := range []int{waitingBytes, 1} {
		t.Run(fmt.Sprintf("%d bytes", length), func(t *testing.T) {
			p := startEntry(t, binary)
			other := p.ordinary
			other.url = strings.Replace(other.url, "visitors", otherQueue, 1)
			p.await(t, other, "before the load")
			connections := crowd{
				address: fmt.Sprintf("%s:%d", instanceIP, callersPort), write: maxClientWrite,
				message: postMessage("/v1/queues/"+waitingQueue, strings.Repeat("x", length), "Deadline: 24h\r\n"),
			}.connect()
			time.Sleep(holdTime)
			p.await(t, other, "beside the open connections")
			p.check(t)
			for _, c := range connections {
				_ = c.Close()
			}
			p.awaitAll(t, "after the load")
			p.check(t)
		})
	}
}
