package fleet

import (
	"fmt"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/rules"
)

// BaseError reports a rules file that is based on a version no longer in force.
type BaseError struct{ Base, Current int }

// Error returns both versions.
func (e BaseError) Error() string {
	return fmt.Sprintf("based on version %d, version %d is in force", e.Base, e.Current)
}

func (t *Tables) applyText(r Apply) error {
	if r.Base != t.Version {
		return BaseError{Base: r.Base, Current: t.Version}
	}
	return t.replaceRules(r.Text)
}

func (t *Tables) applyEdit(r Edit) error {
	text, err := rules.Edit(t.Text, r.Set, r.Remove)
	if err != nil {
		return errors.Trace(err)
	}
	return t.replaceRules(text)
}

func (t *Tables) replaceRules(text string) error {
	set, err := rules.Parse(text)
	if err != nil {
		return errors.Annotate(err, "refused")
	}
	t.Version++
	t.Text = text
	t.rules = set
	t.reassignToSparePool()
	return nil
}
