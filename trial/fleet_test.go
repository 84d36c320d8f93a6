package trial

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/standin"
)

// post sends one request to an entry instance and returns the status and body.
func post(t *testing.T, e *Entry, queue id.Queue, secret, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Server.Callers().String()+"/v1/queues/"+string(queue), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
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
		status, answer := post(t, e, "prices", Secret(team), "drum 1ms")
		if status != http.StatusOK || answer != standin.Answer("drum 1ms") {
			t.Fatalf("entry %s answered %d %q", e.Name, status, answer)
		}
	}
	edit := operator.Edit{Remove: []rules.Ref{{Kind: "key", Name: "k-" + string(team)}}, By: "test"}
	if _, err := f.Entries[1].Operator().Edit(ctx, edit); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range f.Entries {
		status, answer := post(t, e, "prices", Secret(team), "drum 1ms")
		if status != http.StatusUnauthorized || !strings.Contains(answer, `"outcome":"not run"`) {
			t.Errorf("entry %s answered a withdrawn key with %d %q", e.Name, status, answer)
		}
	}
}
