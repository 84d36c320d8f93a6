package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/operator"
	"marigoldshed.example/marigoldshed/rules"
)

type dataCentreArgument struct {
	Args struct {
		DataCentre string `positional-arg-name:"DC" required:"true" description:"data centre"`
	} `positional-args:"true"`
}

type outCommand struct {
	remoteOptions
	dataCentreArgument
	output
}

// Execute takes a data centre out of service, so that no task starts there any more.
func (c *outCommand) Execute([]string) error {
	return c.edit(c.output, []string{fmt.Sprintf("out %s # %s", c.Args.DataCentre, c.requester())}, nil)
}

type backCommand struct {
	remoteOptions
	dataCentreArgument
	output
}

// Execute brings a data centre back into service.
func (c *backCommand) Execute([]string) error {
	return c.edit(c.output, nil, []rules.Ref{{Kind: "out", Name: c.Args.DataCentre}})
}

type instanceArgument struct {
	Args struct {
		Instance string `positional-arg-name:"INSTANCE" required:"true" description:"instance"`
	} `positional-args:"true"`
}

type drainCommand struct {
	remoteOptions
	instanceArgument
	Undo bool `long:"undo" description:"let the instance serve again"`
	output
}

// Execute empties an instance and holds it out of service, or lets it serve again.
func (c *drainCommand) Execute([]string) error {
	if c.Undo {
		return c.edit(c.output, nil, []rules.Ref{{Kind: "drain", Name: c.Args.Instance}})
	}
	return c.edit(c.output, []string{fmt.Sprintf("drain %s # %s", c.Args.Instance, c.requester())}, nil)
}

type moveCommand struct {
	remoteOptions
	instanceArgument
	Pool string `long:"pool" description:"pool that the instance shall belong to"`
	Undo bool   `long:"undo" description:"let the system place the instance again"`
	output
}

// Execute pins an instance to a pool, or lets the system place it again.
func (c *moveCommand) Execute([]string) error {
	if c.Undo {
		return c.edit(c.output, nil, []rules.Ref{{Kind: "move", Name: c.Args.Instance}})
	}
	return c.edit(c.output, []string{fmt.Sprintf("move %s pool=%s # %s", c.Args.Instance, c.Pool, c.requester())}, nil)
}

type keyCommand struct {
	Grant    grantCommand    `command:"grant" description:"Make a key for a team and print its secret once."`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a key."`
}

type keyArgument struct {
	Args struct {
		Key string `positional-arg-name:"KEY" required:"true" description:"name of the key"`
	} `positional-args:"true"`
}

// secretBytes is the length of a key's secret.
const secretBytes = 32

type grantCommand struct {
	remoteOptions
	keyArgument
	Team string `long:"team" required:"true" description:"team that the key acts for"`
	output
}

// Execute creates a key and prints its secret; only the hash of the secret is stored.
func (c *grantCommand) Execute([]string) error {
	raw := make([]byte, secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.Annotate(err, "generating a secret")
	}
	secret := hex.EncodeToString(raw)
	line := fmt.Sprintf("key %s team=%s hash=%s # %s", c.Args.Key, c.Team, entry.HashKey(secret), c.requester())
	if err := c.edit(c.output, []string{line}, nil); err != nil {
		return err
	}
	c.printf("secret %s\n", secret)
	return nil
}

type withdrawCommand struct {
	remoteOptions
	keyArgument
	output
}

// Execute withdraws a key.
func (c *withdrawCommand) Execute([]string) error {
	return c.edit(c.output, nil, []rules.Ref{{Kind: "key", Name: c.Args.Key}})
}

type expireCommand struct {
	remoteOptions
	Args struct {
		Member string `positional-arg-name:"MEMBER" required:"true" description:"member, as status names it"`
	} `positional-args:"true"`
	output
}

// Execute declares that an entry instance has ended for good, so that its slots are freed.
func (c *expireCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return errors.Trace(client.Expire(context.Background(), operator.ExpireRequest{Member: c.Args.Member, By: c.requester()}))
}
