package untrusted

import (
	"fmt"
	"iter"
	"net/http"
	"strings"
	"testing"
	"time"
)

// jobForm is a crowd of clients of which each makes many whole, legal calls one after the other on its connection.
type jobForm struct {
	name    string
	clients int
	calls   int                             // of each client
	request func(id uint64) []clientRequest // what one call sends; the ID is fresh
	early   bool                            // the clients do not wait until the pool has an owner
}

// clientRequest is one request of a client.
type clientRequest struct{ method, body string }

// Sizes of the jobs.
const (
	manySteps     = 60
	longPayload   = 4_000  // bytes, the most that a job may have
	manyTasks     = 20_000 // the most that a job may have
	longImage     = 100_000
	manyPrevious  = 130_000 // a body of nearly legal size names an earlier step so often
	longMethod    = 4_000
	otherTeamJobs = 1 << 32 // IDs of the other team's jobs begin here
)

// wideJob is a job of many steps with a long payload.
var wideJob = func() string {
	step := `{"count":1,"cpu":100,"mem_mb":10,"est_ms":100}`
	return fmt.Sprintf(`{"spec":"%s","phases":[%s]}`, strings.Repeat("x", longPayload), strings.Repeat(step+",", manySteps-1)+step)
}()

func post(body string) func(uint64) []clientRequest {
	return func(uint64) []clientRequest { return []clientRequest{{http.MethodPost, body}} }
}

var jobForms = []jobForm{
	{name: "many steps", clients: 100, calls: 50, request: post(wideJob)},
	{name: "many steps before there is an owner", clients: 100, calls: 50, request: post(wideJob), early: true},
	{name: "many tasks", clients: 20, calls: 10, request: post(
		fmt.Sprintf(`{"spec":"x","phases":[{"count":%d,"cpu":100,"mem_mb":10,"est_ms":100}]}`, manyTasks))},
	{name: "long images", clients: 100, calls: 10, request: post(
		fmt.Sprintf(`{"spec":"x","phases":[{"count":1,"cpu":100,"mem_mb":10,"est_ms":100,"image":"%s"}]}`, strings.Repeat("x", longImage)))},
	{name: "steps that wait for one step many times", clients: 100, calls: 10, request: post(
		fmt.Sprintf(`{"spec":"x","phases":[{"count":1,"est_ms":100},{"count":1,"est_ms":100,"after":[%s0]}]}`, strings.Repeat("0,", manyPrevious-1)))},
	{name: "jobs that are cancelled", clients: 100, calls: 50, request: func(uint64) []clientRequest {
		return []clientRequest{{http.MethodPost, wideJob}, {http.MethodDelete, ""}}
	}},
	{name: "methods that do not exist", clients: 100, calls: 200, request: func(id uint64) []clientRequest {
		return []clientRequest{{fmt.Sprintf("%s%016X", strings.Repeat("M", longMethod), id), ""}}
	}},
}

// TestAcceptedJobs guards against clients that exhaust the memory of an instance by whole, legal calls: by what it keeps of the jobs
// that it accepts, and of each call that it has answered. There are no workers, so no job ends by itself. The jobs of other teams are
// still accepted, and so are jobs at an instance that takes over.
func TestAcceptedJobs(t *testing.T) {
	if !*enabled {
		t.Skip("runs with -untrusted")
	}
	binary := buildBinary(t)
	for _, f := range jobForms {
		t.Run(f.name, func(t *testing.T) {
			s := newJobStore()
			p := startInstance(t, binary, s, limits{memoryMB: memoryMB, descriptors: maxDescriptors})
			if !f.early {
				p.await(t, question(1, apiKey), "before the load")
			}
			connections, answers := f.sequence().send()
			t.Logf("answers by status: %v", answers)
			time.Sleep(holdTime)
			p.await(t, submission(otherTeamJobs, otherKey), "beside the open connections")
			p.check(t)
			for _, c := range connections {
				_ = c.Close()
			}
			p.await(t, submission(otherTeamJobs+1, otherKey), "after the load")
			p.check(t)
			p.kill()
			successor := startInstance(t, binary, s, limits{memoryMB: memoryMB, descriptors: maxDescriptors})
			successor.await(t, question(1, apiKey), "at the successor")
			successor.await(t, submission(otherTeamJobs+2, otherKey), "at the successor")
			time.Sleep(holdTime)
			successor.check(t)
		})
	}
}

// sequence returns the crowd of the form.
func (f jobForm) sequence() sequence {
	return sequence{address: fmt.Sprintf("%s:%d", instanceIP, frontPort), clients: f.clients, messages: f.messages}
}

// messages returns what one client sends.
func (f jobForm) messages(client int) iter.Seq[string] {
	return func(yield func(string) bool) {
		for n := range f.calls {
			id := uint64(1000 + client*f.calls + n)
			for _, r := range f.request(id) {
				header := fmt.Sprintf("%s %s%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nMarigoldshed-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n",
					r.method, pathPrefix, id, host, apiKey, len(r.body))
				if !yield(header + r.body) {
					return
				}
			}
		}
	}
}
