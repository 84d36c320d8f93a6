package settings

import (
	"fmt"
	"net/netip"
	"strconv"
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

	Callers   netip.AddrPort // listen addresses
	Operators netip.AddrPort
	Peers     netip.AddrPort

	Platform netip.AddrPort
	Seeds    []netip.AddrPort // members to contact when the log is unavailable at startup

	PeerSecret     string
	OperatorSecret string

	Grace     time.Duration // how long callers are still accepted after the load balancer was told of a stop
	StopLimit time.Duration // maximum duration of a graceful stop
	Debug     bool

	Memory      int64 // bytes that the process may use, 0 if the file does not say
	Descriptors int   // file descriptors that the process may use, 0 if the file does not say
}

// KeyError is one error of a settings file.
type KeyError struct {
	Section string
	Key     string
	Reason  string
}

// Error returns the section, key and reason.
func (e KeyError) Error() string { return fmt.Sprintf("[%s] %s: %s", e.Section, e.Key, e.Reason) }

// Errors lists every error of a settings file.
type Errors []KeyError

// Error returns the errors, one per line.
func (e Errors) Error() string {
	texts := make([]string, 0, len(e))
	for _, err := range e {
		texts = append(texts, err.Error())
	}
	return strings.Join(texts, "\n")
}

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// knownSections lists every section with its keys.
var knownSections = []section{
	{name: "entry", keys: []string{"name", "dc"}},
	{name: "listen", keys: []string{"callers", "operators", "peers"}},
	{name: "platform", keys: []string{"address"}},
	{name: "peers", keys: []string{"seeds", "secret"}},
	{name: "operators", keys: []string{"secret"}},
	{name: "stop", keys: []string{"grace", "limit"}},
	{name: "log", keys: []string{"debug"}},
	{name: "limits", keys: []string{"memory", "descriptors"}},
}

type section struct {
	name string
	keys []string
}

// Load reads a settings file; it fails with Errors that list every error.
func Load(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, errors.Annotatef(err, "reading settings %s", path)
	}
	return read(file)
}

// Parse reads settings from text; it fails with Errors that list every error.
func Parse(text []byte) (Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Settings{}, errors.Annotate(err, "reading settings")
	}
	return read(file)
}

func read(file *ini.File) (Settings, error) {
	r := &reader{file: file}
	r.checkNames()
	s := Settings{
		Entry:          id.Entry(r.requiredWord("entry", "name")),
		DataCentre:     id.DataCentre(r.requiredWord("entry", "dc")),
		Callers:        r.address("listen", "callers"),
		Operators:      r.address("listen", "operators"),
		Peers:          r.address("listen", "peers"),
		Platform:       r.address("platform", "address"),
		Seeds:          r.addresses("peers", "seeds"),
		PeerSecret:     r.secret("peers"),
		OperatorSecret: r.secret("operators"),
		Grace:          r.duration("stop", "grace", 5*time.Second),
		StopLimit:      r.duration("stop", "limit", 15*time.Minute),
		Debug:          r.yesNo("log", "debug"),
		Memory:         r.size("limits", "memory", minMemory),
		Descriptors:    int(r.number("limits", "descriptors", minDescriptors)),
	}
	if len(r.errs) > 0 {
		return Settings{}, r.errs
	}
	return s, nil
}

type reader struct {
	file *ini.File
	errs Errors
}

func (r *reader) addError(section, key, format string, args ...any) {
	r.errs = append(r.errs, KeyError{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// checkNames reports every section and key that no setting uses.
func (r *reader) checkNames() {
	names := id.NewSet(ini.DefaultSection)
	for _, s := range knownSections {
		names.Add(s.name)
		keys := id.NewSet(s.keys...)
		for _, key := range r.file.Section(s.name).KeyStrings() {
			if !keys.Has(key) {
				r.addError(s.name, key, "no setting has this name")
			}
		}
	}
	for _, s := range r.file.SectionStrings() {
		if !names.Has(s) {
			r.addError(s, "", "no section has this name")
		}
	}
	for _, key := range r.file.Section(ini.DefaultSection).KeyStrings() {
		r.addError("", key, "comes before the first section")
	}
}

func (r *reader) value(section, key string) string {
	return strings.TrimSpace(r.file.Section(section).Key(key).String())
}

func (r *reader) requiredWord(section, key string) string {
	value := r.value(section, key)
	if value == "" {
		r.addError(section, key, "is missing")
	}
	if strings.ContainsAny(value, " \t@") {
		r.addError(section, key, "contains a space or @")
	}
	return value
}

func (r *reader) address(section, key string) netip.AddrPort {
	value := r.value(section, key)
	if value == "" {
		r.addError(section, key, "is missing")
		return netip.AddrPort{}
	}
	return r.parseAddress(section, key, value)
}

func (r *reader) parseAddress(section, key, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		r.addError(section, key, "want an IP address with a port, got %q", value)
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
	if len(value) < minSecretBytes {
		r.addError(section, "secret", "is shorter than %d bytes", minSecretBytes)
	}
	return value
}

func (r *reader) duration(section, key string, defaultValue time.Duration) time.Duration {
	value := r.value(section, key)
	if value == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		r.addError(section, key, "want a duration such as 5s, got %q", value)
	}
	return d
}

// Smallest limits with which an instance can serve.
const (
	minMemory      = 64 << 20
	minDescriptors = 300
)

// size returns a number of bytes such as 96MB or 2GB, or 0 if there is none.
func (r *reader) size(section, key string, least int64) int64 {
	value := r.value(section, key)
	if value == "" {
		return 0
	}
	unit := int64(1 << 20)
	digits, isMB := strings.CutSuffix(value, "MB")
	if !isMB {
		unit = 1 << 30
		digits = strings.TrimSuffix(value, "GB")
	}
	n, err := strconv.ParseInt(digits, 10, 32)
	if err != nil || digits == value || n*unit < least {
		r.addError(section, key, "want a size such as 96MB or 2GB, %dMB at least, got %q", least>>20, value)
		return 0
	}
	return n * unit
}

// number returns a number, or 0 if there is none.
func (r *reader) number(section, key string, least int64) int64 {
	value := r.value(section, key)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < least {
		r.addError(section, key, "want a whole number, %d at least, got %q", least, value)
	}
	return n
}

func (r *reader) yesNo(section, key string) bool {
	switch value := r.value(section, key); value {
	case "", "no":
		return false
	case "yes":
		return true
	default:
		r.addError(section, key, "want yes or no, got %q", value)
		return false
	}
}
