package commands

import (
	"context"
	"net/netip"
	"os"
	"os/user"
	"strings"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/platform"
	"marigoldshed.example/marigoldshed/rules"
)

// remoteOptions select the entry instance to call and name the operator who makes the request.
type remoteOptions struct {
	Via    string `long:"via" env:"MARIGOLDSHED_VIA" default:"127.0.0.1:8002" description:"operators' address of any entry instance"`
	Secret string `long:"secret" env:"MARIGOLDSHED_SECRET" description:"operators' secret"`
	By     string `long:"by" env:"MARIGOLDSHED_BY" description:"who asks (default: the user's name)"`
}

func (o remoteOptions) client() (*operator.Client, error) {
	address, err := netip.ParseAddrPort(o.Via)
	if err != nil {
		return nil, errors.Annotatef(err, "--via %s: want an IP address with a port", o.Via)
	}
	return operator.NewClient(operator.ClientConfig{Address: address, Secret: o.Secret}), nil
}

func (o remoteOptions) requester() string {
	if o.By != "" {
		return o.By
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// edit sets or removes single rules and prints the version in force.
func (o remoteOptions) edit(out output, set []string, remove []rules.Ref) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	version, err := client.Edit(context.Background(), operator.Edit{Set: set, Remove: remove, By: o.requester()})
	if err != nil {
		return errors.Trace(err)
	}
	out.printf("version %d is in force\n", version)
	return nil
}

type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"RULES" required:"true" description:"rules file"`
	} `positional-args:"true"`
}

func (a fileArgument) read() (string, error) {
	text, err := os.ReadFile(a.Args.File)
	return string(text), errors.Annotatef(err, "reading %s", a.Args.File)
}

// parse reads and parses the rules file; it fails if the file has any error.
func (a fileArgument) parse() (string, *rules.Set, error) {
	text, err := a.read()
	if err != nil {
		return "", nil, err
	}
	set, err := rules.Parse(text)
	return text, set, errors.Trace(err)
}

type checkCommand struct {
	Settings bool `long:"settings" description:"the file is a settings file of the platform, not a rules file"`
	fileArgument
	output
}

// Execute checks a rules file and reports every error, or a settings file and reports the first.
func (c *checkCommand) Execute([]string) error {
	if c.Settings {
		set, err := platform.LoadSettings(c.Args.File)
		if err != nil {
			return errors.Trace(err)
		}
		c.printf("instance %s in %s serves callers at %s: no fault\n", set.Name, set.DataCentre, set.Callers)
		return nil
	}
	_, set, err := c.parse()
	if err != nil {
		return err
	}
	c.printf("%d pools, %d queues, %d teams, %d keys: no fault\n", len(set.Pools), len(set.Queues), len(set.Teams), len(set.Keys))
	return nil
}

type planCommand struct {
	remoteOptions
	fileArgument
	output
}

// Execute shows which rules a file would add and remove.
func (c *planCommand) Execute([]string) error {
	text, _, err := c.parse()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Rules(context.Background())
	if err != nil {
		return errors.Trace(err)
	}
	changes := rules.Compare(current.Text, text)
	c.printf("against version %d:\n", current.Version)
	for _, line := range changes {
		c.printf("%s\n", line)
	}
	c.printf("%d changes\n", len(changes))
	return nil
}

type applyCommand struct {
	remoteOptions
	fileArgument
	Base int `long:"base" default:"-1" description:"version that the file is based on (default: the one that its first line names, or else the one in force)"`
	output
}

// Execute puts a rules file into force as one version.
func (c *applyCommand) Execute([]string) error {
	text, _, err := c.parse()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	base := c.Base
	if base < 0 {
		base = rules.BaseVersion(text)
	}
	if base < 0 {
		current, err := client.Rules(context.Background())
		if err != nil {
			return errors.Trace(err)
		}
		if current.Version > 0 {
			return operator.RefusedError{Reason: "the file does not say which version it is based on: start from pull, or give --base"}
		}
		base = 0
	}
	version, err := client.Apply(context.Background(), operator.Apply{Base: base, Text: rules.RemoveBaseLine(text), By: c.requester()})
	if err != nil {
		return errors.Trace(err)
	}
	c.printf("version %d is in force\n", version)
	return nil
}

type pullCommand struct {
	remoteOptions
	output
}

// Execute prints the rules file in force, with a first line that names its version.
func (c *pullCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Rules(context.Background())
	if err != nil {
		return errors.Trace(err)
	}
	c.printf("%s", rules.AddBaseLine(current.Version, strings.TrimRight(current.Text, "\n")+"\n"))
	return nil
}
