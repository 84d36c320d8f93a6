package commands

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/platform"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/settings"
)

// Exit codes.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitRefused
	exitPending
)

// output is where commands write what they were asked for.
type output struct{ out io.Writer }

func (o output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.out, format, args...)
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	parser := flags.NewNamedParser("marigoldshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Manages the capacity and maintenance of a fleet of instances."
	add(parser, output{out: out})
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, usage.Message)
		return exitDone
	}
	_, _ = fmt.Fprintln(errs, "marigoldshed:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	var faults settings.Faults
	var lines rules.Errors
	var field platform.FieldError
	var refused operator.RefusedError
	var pending operator.PendingError
	switch {
	case errors.As(err, &usage), errors.As(err, &faults), errors.As(err, &lines), errors.As(err, &field):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &pending):
		return exitPending
	}
	return exitFailed
}

// add names every command; a fault here is one of the program itself.
func add(parser *flags.Parser, o output) {
	commands := []struct {
		name, short string
		command     any
	}{
		{"try", "Run a whole fleet in this process and check every promise.", &tryCommand{output: o}},
		{"serve", "Run one entry instance.", &serveCommand{}},
		{"run", "Run one instance on the platform's machines.", &runCommand{}},
		{"standin", "Run a small fake of the platform or of an endpoint.", &standinCommand{Platform: platformCommand{output: o}, Endpoint: endpointCommand{output: o}}},
		{"explain", "Tell the story of a job from the logs of several instances.", &explainCommand{output: o}},
		{"check", "Check a rules file or a settings file.", &checkCommand{output: o}},
		{"plan", "Show what a rules file would change.", &planCommand{output: o}},
		{"apply", "Put a rules file into force.", &applyCommand{output: o}},
		{"pull", "Print the rules file in force.", &pullCommand{output: o}},
		{"status", "Show what an entry instance knows of the system.", &statusCommand{output: o}},
		{"out", "Take a data centre out.", &outCommand{output: o}},
		{"back", "Bring a data centre back.", &backCommand{output: o}},
		{"drain", "Empty an instance and hold it, or let it serve again.", &drainCommand{output: o}},
		{"move", "Pin an instance to a pool.", &moveCommand{output: o}},
		{"key", "Grant or withdraw a key.", &keyCommand{Grant: grantCommand{output: o}, Withdraw: withdrawCommand{output: o}}},
		{"lapse", "Tell that an entry instance has ended for good.", &lapseCommand{output: o}},
		{"measure", "Measure what a part costs.", &measureCommand{output: o}},
		{"submit", "Send a request as a caller.", &submitCommand{output: o}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.command); err != nil {
			panic(errors.Annotatef(err, "adding command %s", c.name))
		}
	}
}
