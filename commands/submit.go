package commands

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/caller"
	"marigoldshed.example/marigoldshed/operator"
)

type submitCommand struct {
	Via            string `long:"via" default:"127.0.0.1:8001" description:"callers' address of any entry instance"`
	Queue          string `long:"queue" required:"true" description:"queue"`
	Key            string `long:"key" env:"MARIGOLDSHED_KEY" description:"secret of the team's key"`
	Class          string `long:"class" default:"urgent" description:"urgent or overnight"`
	Deadline       string `long:"deadline" description:"how long to wait for a slot (default: 30s, and 24h for a task)"`
	IdempotencyKey string `long:"idempotency-key" description:"a repeat under the same key does not run twice"`
	Body           string `long:"body" description:"body of the request"`
	Task           bool   `long:"task" description:"submit a task, watch it to its end and collect its answer"`
	output
}

// Execute sends one request, or submits a task and waits for its end, and prints the answer.
func (c *submitCommand) Execute([]string) error {
	path := "/v1/queues/" + url.PathEscape(c.Queue)
	if c.Task {
		return c.submit(path + "/tasks")
	}
	answer, err := c.call(http.MethodPost, path, c.Body)
	if err != nil {
		return err
	}
	_, err = c.out.Write(answer.body)
	return errors.Annotate(err, "printing the answer")
}

// submit submits a task, waits for its end and prints its answer.
func (c *submitCommand) submit(path string) error {
	answer, err := c.call(http.MethodPost, path, c.Body)
	if err != nil {
		return err
	}
	var status caller.Status
	if err := json.Unmarshal(answer.body, &status); err != nil {
		return errors.Annotate(err, "reading the task's state")
	}
	location := answer.header.Get("Location")
	for !status.State.Ended() {
		c.printf("%s is %s\n", status.ID, status.State)
		if answer, err = c.call(http.MethodGet, location+"?wait=10s", ""); err != nil {
			return err
		}
		if err := json.Unmarshal(answer.body, &status); err != nil {
			return errors.Annotate(err, "reading the task's state")
		}
	}
	c.printf("%s is %s\n", status.ID, status.State)
	if answer, err = c.call(http.MethodGet, location+"/answer", ""); err != nil {
		return err
	}
	_, err = c.out.Write(answer.body)
	return errors.Annotate(err, "printing the answer")
}

// callResponse is the complete response to one call.
type callResponse struct {
	header http.Header
	body   []byte
}

// call sends one HTTP request; it fails with operator.RefusedError when the response is a problem document.
func (c *submitCommand) call(method, path, body string) (callResponse, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.Via+path, strings.NewReader(body))
	if err != nil {
		return callResponse{}, errors.Annotate(err, "building the request")
	}
	request.Header.Set("Class", c.Class)
	if c.Deadline != "" {
		request.Header.Set("Deadline", c.Deadline)
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResponse{}, errors.Annotate(err, "sending the request")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return callResponse{}, errors.Annotate(err, "reading the answer")
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return callResponse{}, operator.RefusedError{Reason: strings.TrimSpace(string(answer))}
	}
	return callResponse{header: response.Header, body: answer}, nil
}
