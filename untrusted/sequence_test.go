package untrusted

import (
	"bufio"
	"io"
	"iter"
	"net"
	"net/http"
	"sync"
	"time"
)

// sequence is a crowd of clients of which each sends whole, legal requests one after the other on its connection.
type sequence struct {
	address  string
	clients  int
	messages func(client int) iter.Seq[string] // what one client sends
}

// send has all clients make their requests and returns their connections, which stay open, and the number of answers by status.
func (s sequence) send() ([]net.Conn, map[int]int) {
	var mu sync.Mutex
	var connections []net.Conn
	answers := map[int]int{}
	var wait sync.WaitGroup
	for n := range s.clients {
		wait.Go(func() {
			c, err := net.DialTimeout("tcp", s.address, requestTimeout)
			if err != nil {
				return // rejected
			}
			statuses := s.sendAll(c, n)
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
func (s sequence) sendAll(c net.Conn, client int) []int {
	_ = c.SetDeadline(time.Now().Add(patience))
	reader := bufio.NewReader(c)
	var statuses []int
	for message := range s.messages(client) {
		if _, err := c.Write([]byte(message)); err != nil {
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
