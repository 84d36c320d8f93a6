package commands

import (
	"os"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/observe/timeline"
)

type explainCommand struct {
	Args struct {
		Job   string   `positional-arg-name:"ID" required:"true" description:"id of the job"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of instances, in any order"`
	} `positional-args:"true"`
	output
}

// Execute prints what the logs say about a job, in order of time, and what is missing from them.
func (c *explainCommand) Execute([]string) error {
	logs := timeline.New(c.Args.Job)
	for _, name := range c.Args.Files {
		if err := addLog(logs, name); err != nil {
			return err
		}
	}
	logs.Print(c.out)
	return nil
}

func addLog(logs *timeline.Logs, name string) error {
	file, err := os.Open(name) //nolint:gosec // the operator names the log
	if err != nil {
		return errors.Annotatef(err, "opening %s", name)
	}
	defer func() { _ = file.Close() }()
	return errors.Annotatef(logs.Add(file), "reading %s", name)
}
