package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"marigoldshed.example/marigoldshed/common/id"
)

// Settings is everything that one entry instance reads from its file.
type Settings struct {
	Entry      id.Entry
	DataCentre id.DataCentre

	Callers   netip.AddrPort // listeners
	Operators netip.AddrPort
	Peers     netip.AddrPort

	Platform netip.AddrPort
	Seeds    []netip.AddrPort // members to ask when the log is out at the start

	PeerSecret     string
	OperatorSecret string

	Grace     time.Duration // how long callers may still arrive once the balancer has been told of a stop
	StopLimit time.Duration // a graceful stop takes at most so long
	Debug     bool
}

// Fault is one fault of a settings file.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

// Error returns the section, key and reason.
func (f Fault) Error() string { return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason) }

// Faults lists every fault of a settings file.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	texts := make([]string, 0, len(f))
	for _, fault := range f {
		texts = append(texts, fault.Error())
	}
	return strings.Join(texts, "\n")
}

// leastSecret is the shortest secret that is taken, in bytes.
const leastSecret = 16

// known lists every section with its keys.
var known = []section{
	{name: "entry", keys: []string{"name", "dc"}},
	{name: "listen", keys: []string{"callers", "operators", "peers"}},
	{name: "platform", keys: []string{"address"}},
	{name: "peers", keys: []string{"seeds", "secret"}},
	{name: "operators", keys: []string{"secret"}},
	{name: "stop", keys: []string{"grace", "limit"}},
	{name: "log", keys: []string{"debug"}},
}

type section struct {
	name string
	keys []string
}

// Load reads a settings file; it fails with Faults that name every fault.
func Load(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, errors.Annotatef(err, "reading settings %s", path)
	}
	return read(file)
}

// Parse reads settings from text; it fails with Faults that name every fault.
func Parse(text []byte) (Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Settings{}, errors.Annotate(err, "reading settings")
	}
	return read(file)
}

func read(file *ini.File) (Settings, error) {
	r := &reader{file: file}
	r.unknown()
	s := Settings{
		Entry:          id.Entry(r.word("entry", "name")),
		DataCentre:     id.DataCentre(r.word("entry", "dc")),
		Callers:        r.address("listen", "callers"),
		Operators:      r.address("listen", "operators"),
		Peers:          r.address("listen", "peers"),
		Platform:       r.address("platform", "address"),
		Seeds:          r.addresses("peers", "seeds"),
		PeerSecret:     r.secret("peers"),
		OperatorSecret: r.secret("operators"),
		Grace:          r.span("stop", "grace", 5*time.Second),
		StopLimit:      r.span("stop", "limit", 15*time.Minute),
		Debug:          r.flag("log", "debug"),
	}
	if len(r.faults) > 0 {
		return Settings{}, r.faults
	}
	return s, nil
}

type reader struct {
	file   *ini.File
	faults Faults
}

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// unknown names every section and key that no setting uses.
func (r *reader) unknown() {
	names := id.NewSet(ini.DefaultSection)
	for _, s := range known {
		names.Add(s.name)
		keys := id.NewSet(s.keys...)
		for _, key := range r.file.Section(s.name).KeyStrings() {
			if !keys.Has(key) {
				r.fault(s.name, key, "no setting has this name")
			}
		}
	}
	for _, s := range r.file.SectionStrings() {
		if !names.Has(s) {
			r.fault(s, "", "no section has this name")
		}
	}
	for _, key := range r.file.Section(ini.DefaultSection).KeyStrings() {
		r.fault("", key, "stands before the first section")
	}
}

func (r *reader) value(section, key string) string {
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) word(section, key string) string {
	value := r.value(section, key)
	if value == "" {
		r.fault(section, key, "is missing")
	}
	if strings.ContainsAny(value, " \t@") {
		r.fault(section, key, "has a space or @ in it")
	}
	return value
}

func (r *reader) address(section, key string) netip.AddrPort {
	value := r.value(section, key)
	if value == "" {
		r.fault(section, key, "is missing")
		return netip.AddrPort{}
	}
	return r.parseAddress(section, key, value)
}

func (r *reader) parseAddress(section, key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.fault(section, key, "%q is not an IP number with a port", value)
	}
	return address
}

func (r *reader) addresses(section, key string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, value := range strings.Split(r.value(section, key), ",") {
		if value = strings.TrimSpace(value); value != "" {
			list = append(list, r.parseAddress(section, key, value))
		}
	}
	return list
}

func (r *reader) secret(section string) string {
	value := r.value(section, "secret")
	if len(value) < leastSecret {
		r.fault(section, "secret", "is shorter than %d bytes", leastSecret)
	}
	return value
}

func (r *reader) span(section, key string, otherwise time.Duration) time.Duration {
	value := r.value(section, key)
	if value == "" {
		return otherwise
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		r.fault(section, key, "%q is not a time such as 5s", value)
	}
	return d
}

func (r *reader) flag(section, key string) bool {
	switch value := r.value(section, key); value {
	case "", "no":
		return false
	case "yes":
		return true
	default:
		r.fault(section, key, "%q is neither yes nor no", value)
		return false
	}
}
