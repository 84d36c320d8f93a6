package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/standin"
	"marigoldshed.example/marigoldshed/task"
)

func TestPathFromCallerToEndpoint(t *testing.T) {
	d := tambuli()
	f, err := StartFleet(FleetConfig{Deployment: d, Reboot: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.Publish(ctx); err != nil {
		t.Fatal(err)
	}
	team := d.Teams[0].Team
	for _, e := range f.Entries {
		status, answer := call(t, http.MethodPost, e, "/v1/queues/prices", team, "drum 1ms")
		if status != http.StatusOK || answer != standin.Answer("drum 1ms") {
			t.Fatalf("entry %s answered %d %q", e.Name, status, answer)
		}
	}
	if _, err := f.Entries[0].Server.Control().Serve(ctx, entry.Request{
		Queue: "prices", Secret: Secret(team), Class: queue.Urgent, Needs: entry.Needs{Accelerators: 1},
	}); !strings.Contains(fmt.Sprint(err), "not run: none of the 10 workers of pool counter") {
		t.Errorf("request that fits no worker: got error %v", err)
	}
	edit := operator.Edit{Remove: []rules.Ref{{Kind: "key", Name: "k-" + string(team)}}, By: "test"}
	if _, err := f.Entries[1].Operator().Edit(ctx, edit); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range f.Entries {
		status, answer := call(t, http.MethodPost, e, "/v1/queues/prices", team, "drum 1ms")
		if status != http.StatusUnauthorized || !strings.Contains(answer, `"outcome":"not run"`) {
			t.Errorf("entry %s answered a withdrawn key with %d %q", e.Name, status, answer)
		}
	}
}

func TestTasksSurviveKilledEntryInstance(t *testing.T) {
	d := tambuli()
	f, err := StartFleet(FleetConfig{Deployment: d, Reboot: time.Second, Timing: entry.Timing{TaskLease: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if err := f.Publish(ctx); err != nil {
		t.Fatal(err)
	}
	team := d.Teams[5] // its limit is 40, so that tasks wait
	var names []string
	for n := range 60 {
		status, answer := call(t, http.MethodPost, f.Entries[0], "/v1/queues/prices/tasks", team.Team, "task"+strconv.Itoa(n)+" 300ms")
		var shown caller.Status
		if err := json.Unmarshal([]byte(answer), &shown); err != nil || status != http.StatusAccepted {
			t.Fatalf("submitting answered %d %q", status, answer)
		}
		names = append(names, shown.ID)
	}
	cancelled := names[len(names)-1]
	call(t, http.MethodDelete, f.Entries[1], "/v1/tasks/"+cancelled, team.Team, "")
	f.Entries[0].Kill()
	done, unknown := 0, 0
	for n, name := range names[:len(names)-1] {
		state := collect(t, ctx, f.Entries[2], name, team.Team, "task"+strconv.Itoa(n)+" 300ms")
		switch state {
		case task.Done:
			done++
		case task.Unknown:
			unknown++
		default:
			t.Errorf("task %s is %s", name, state)
		}
	}
	if done == 0 || done+unknown != len(names)-1 {
		t.Errorf("%d done and %d unknown of %d", done, unknown, len(names)-1)
	}
	for body, runs := range runsByBody(f.Journal.Runs()) {
		if len(runs) > 1 {
			t.Errorf("%s ran %d times", body, len(runs))
		}
	}
	if status, _ := call(t, http.MethodGet, f.Entries[2], "/v1/tasks/"+cancelled, d.Teams[0].Team, ""); status != http.StatusNotFound {
		t.Errorf("status request by another team answered %d", status)
	}
}

// call sends one request of a caller and returns the status and body of the answer.
func call(t *testing.T, method string, e *Entry, path string, team id.Team, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Server.Callers().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+Secret(team))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

// collect waits until a task has ended and checks its answer.
func collect(t *testing.T, ctx context.Context, e *Entry, name string, team id.Team, body string) task.State {
	t.Helper()
	for ctx.Err() == nil {
		status, text := call(t, http.MethodGet, e, "/v1/tasks/"+name+"?wait=5s", team, "")
		var shown caller.Status
		if status != http.StatusOK || json.Unmarshal([]byte(text), &shown) != nil || !shown.State.Ended() {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if shown.State == task.Done {
			if status, answer := call(t, http.MethodGet, e, "/v1/tasks/"+name+"/answer", team, ""); status != http.StatusOK || answer != standin.Answer(body) {
				t.Errorf("task %s answered %d %q", name, status, answer)
			}
		}
		return shown.State
	}
	t.Fatalf("task %s did not end", name)
	return ""
}
