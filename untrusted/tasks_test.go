package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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
			connections, answers := f.send()
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

// send has all clients make their requests and returns their connections, which stay open, and the number of answers by status.
func (f requestForm) send() ([]net.Conn, map[int]int) {
	var mu sync.Mutex
	var connections []net.Conn
	answers := map[int]int{}
	var wait sync.WaitGroup
	for n := range f.clients {
		wait.Go(func() {
			c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", instanceIP, callersPort), requestTimeout)
			if err != nil {
				return // rejected
			}
			statuses := f.sendAll(c, n)
			mu.Lock()
			defer mu.Unlock()
			connections = append(connections, c)
			for _, status := range statuses {
				answers[status]++
			}
		})
	}
	wait.Wait()
	return connections, answers
}

// sendAll makes one client's requests and returns the statuses of the answers. It stops at the first error, since the process may close
// its connection.
func (f requestForm) sendAll(c net.Conn, client int) []int {
	_ = c.SetDeadline(time.Now().Add(patience))
	reader := bufio.NewReader(c)
	var statuses []int
	for n := range f.requests {
		if _, err := c.Write([]byte(f.message(client, n))); err != nil {
			return statuses
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}
