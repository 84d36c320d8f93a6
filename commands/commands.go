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

// output is the writer to which commands print their results.
type output struct{ out io.Writer }

func (o output) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.out, format, args...)
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("marigoldshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Manages the capacity and maintenance of a fleet of instances."
	addCommands(parser, output{out: out})
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, usage.Message)
		return exitDone
	}
	_, _ = fmt.Fprintln(errOut, "marigoldshed:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	var settingErrors settings.Errors
	var ruleErrors rules.Errors
	var fieldError platform.FieldError
	var refused operator.RefusedError
	var pending operator.PendingError
	switch {
	case errors.As(err, &usage), errors.As(err, &settingErrors), errors.As(err, &ruleErrors), errors.As(err, &fieldError):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &pending):
		return exitPending
	}
	return exitFailed
}

// addCommands registers every command; it panics on an error, since only a mistake in this program can cause one.
func addCommands(parser *flags.Parser, o output) {
	commands := []struct {
		name, short string
		command     any
	}{
		{"try", "Run a whole fleet in this process and check every guarantee.", &tryCommand{output: o}},
		{"serve", "Run one entry instance.", &serveCommand{}},
		{"run", "Run one instance on the platform's machines.", &runCommand{}},
		{"standin", "Run a small fake of the platform or of an endpoint.", &standinCommand{Platform: platformCommand{output: o}, Endpoint: endpointCommand{output: o}}},
		{"explain", "Print the timeline of a job from the logs of several instances.", &explainCommand{output: o}},
		{"check", "Check a rules file or a settings file.", &checkCommand{output: o}},
		{"plan", "Show what a rules file would change.", &planCommand{output: o}},
		{"apply", "Put a rules file into force.", &applyCommand{output: o}},
		{"pull", "Print the rules file in force.", &pullCommand{output: o}},
		{"status", "Show the state of the system as one entry instance knows it.", &statusCommand{output: o}},
		{"out", "Take a data centre out of service.", &outCommand{output: o}},
		{"back", "Bring a data centre back into service.", &backCommand{output: o}},
		{"drain", "Empty an instance and hold it out of service, or let it serve again.", &drainCommand{output: o}},
		{"move", "Pin an instance to a pool.", &moveCommand{output: o}},
		{"key", "Grant or withdraw a key.", &keyCommand{Grant: grantCommand{output: o}, Withdraw: withdrawCommand{output: o}}},
		{"lapse", "Declare that an entry instance has ended for good.", &expireCommand{output: o}},
		{"measure", "Run one measurement.", &measureCommand{output: o}},
		{"submit", "Send a request as a caller.", &submitCommand{output: o}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.command); err != nil {
			panic(errors.Annotatef(err, "adding command %s", c.name))
		}
	}
}
