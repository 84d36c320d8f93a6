package commands

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/operator"
)

type submitCommand struct {
	Via            string `long:"via" default:"127.0.0.1:8001" description:"callers' address of any entry instance"`
	Queue          string `long:"queue" required:"true" description:"queue"`
	Key            string `long:"key" env:"MARIGOLDSHED_KEY" description:"secret of the team's key"`
	Class          string `long:"class" default:"urgent" description:"urgent or overnight"`
	Deadline       string `long:"deadline" default:"30s" description:"how long to wait for a slot"`
	IdempotencyKey string `long:"idempotency-key" description:"a repeat under the same key does not run twice"`
	Body           string `long:"body" description:"body of the request"`
	output
}

// Execute sends one request and prints its answer.
func (c *submitCommand) Execute([]string) error {
	target := "http://" + c.Via + "/v1/queues/" + url.PathEscape(c.Queue)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, strings.NewReader(c.Body))
	if err != nil {
		return errors.Annotate(err, "building the request")
	}
	request.Header.Set("Class", c.Class)
	request.Header.Set("Deadline", c.Deadline)
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "sending the request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Annotate(err, "the answer did not arrive whole")
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return operator.RefusedError{Reason: strings.TrimSpace(string(body))}
	}
	_, err = c.out.Write(body)
	return errors.Annotate(err, "printing the answer")
}
