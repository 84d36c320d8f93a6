package rules

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Bounds on one rules file.
const (
	maxTextBytes = 1 << 20
	maxCount     = 1 << 20 // slots, shares and instances
	keyHashBytes = 32
	maxHold      = 24 * time.Hour
	maxNameBytes = 200
)

// Parse reads a rules file; it fails with Errors that list every error.
func Parse(text string) (*Set, error) {
	if len(text) > maxTextBytes {
		return nil, Errors{{Line: 1, Reason: "the file is larger than 1 MiB"}}
	}
	lines, errs := Lines(text)
	p := &parser{errs: errs, firstLines: map[Ref]int{}}
	for _, line := range lines {
		p.addRule(line)
	}
	p.checkReferences(lines)
	if len(p.errs) > 0 {
		sort.SliceStable(p.errs, func(i, j int) bool { return p.errs[i].Line < p.errs[j].Line })
		return nil, p.errs
	}
	return &p.set, nil
}

type parser struct {
	set        Set
	errs       Errors
	firstLines map[Ref]int
}

func (p *parser) addError(line Line, format string, args ...any) {
	p.errs = append(p.errs, LineError{Line: line.Number, Reason: fmt.Sprintf(format, args...)})
}

// addRule adds the rule of one line to the set.
func (p *parser) addRule(line Line) {
	if len(line.Name) > maxNameBytes {
		p.addError(line, "the name has %d letters, %d at most", len(line.Name), maxNameBytes)
		return
	}
	if firstLine, ok := p.firstLines[line.Ref()]; ok {
		p.addError(line, "%s %s already stands on line %d", line.Kind, line.Name, firstLine)
		return
	}
	p.firstLines[line.Ref()] = line.Number
	switch line.Kind {
	case "pool", "spare":
		p.checkArgs(line, "size", "budget")
		pool := Pool{Name: id.Pool(line.Name), Size: p.count(line, "size", 1), Budget: p.count(line, "budget", 0)}
		pool.Spare = line.Kind == "spare"
		p.set.Pools = append(p.set.Pools, pool)
	case "queue":
		p.addQueue(line)
	case "team":
		p.checkArgs(line, "share", "limit")
		team := Team{Name: id.Team(line.Name), Share: p.count(line, "share", 1), Limit: p.count(line, "limit", 0)}
		p.set.Teams = append(p.set.Teams, team)
	case "key":
		p.addKey(line)
	case "out":
		p.checkArgs(line)
		p.set.Outs = append(p.set.Outs, id.DataCentre(line.Name))
	case "drain":
		p.checkArgs(line)
		p.set.Drains = append(p.set.Drains, Drain{Instance: id.Instance(line.Name)})
	case "move":
		p.checkArgs(line, "pool")
		p.set.Moves = append(p.set.Moves, Move{Instance: id.Instance(line.Name), Pool: id.Pool(p.requiredArg(line, "pool"))})
	case "wave":
		p.checkArgs(line, "pool")
		p.set.Waves = append(p.set.Waves, Wave{Name: line.Name, Pool: id.Pool(p.requiredArg(line, "pool"))})
	case "maintain":
		p.checkArgs(line, "every")
		p.set.Maintains = append(p.set.Maintains, Maintain{Name: line.Name, Every: p.duration(line, "every")})
	case "cutoff":
		p.checkArgs(line, "hold")
		cutoff := Cutoff{DataCentre: id.DataCentre(line.Name), Hold: p.duration(line, "hold")}
		if cutoff.Hold > maxHold {
			p.addError(line, "hold is longer than %s", maxHold)
		}
		p.set.Cutoffs = append(p.set.Cutoffs, cutoff)
	default:
		p.addError(line, "no rule is called %q", line.Kind)
	}
}

func (p *parser) addQueue(line Line) {
	p.checkArgs(line, "pool", "open", "for")
	queue := Queue{Name: id.Queue(line.Name), Pool: id.Pool(p.requiredArg(line, "pool"))}
	_, queue.Open = line.Arg("open")
	for _, team := range strings.Split(p.requiredArg(line, "for"), ",") {
		queue.Teams = append(queue.Teams, id.Team(team))
	}
	if queue.Open && len(queue.Teams) != 1 {
		p.addError(line, "an open queue names one team in for=, which work without a key counts for")
	}
	p.set.Queues = append(p.set.Queues, queue)
}

func (p *parser) addKey(line Line) {
	p.checkArgs(line, "team", "hash")
	key := Key{Name: line.Name, Team: id.Team(p.requiredArg(line, "team")), Hash: p.requiredArg(line, "hash")}
	raw, err := hex.DecodeString(key.Hash)
	if err != nil || len(raw) != keyHashBytes {
		p.addError(line, "hash is not a SHA-256 in hex")
	}
	p.set.Keys = append(p.set.Keys, key)
}

// checkArgs reports every argument that the rule does not support.
func (p *parser) checkArgs(line Line, supported ...string) {
	set := id.NewSet(supported...)
	for _, arg := range line.Args {
		if !set.Has(arg.Key) {
			p.addError(line, "%s takes no argument %q", line.Kind, arg.Key)
		}
	}
}

func (p *parser) requiredArg(line Line, key string) string {
	value, _ := line.Arg(key)
	if value == "" {
		p.addError(line, "%s needs %s=", line.Kind, key)
	}
	return value
}

func (p *parser) count(line Line, key string, minimum int) int {
	value := p.requiredArg(line, key)
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maxCount {
		p.addError(line, "%s=%s is not a whole number from %d to %d", key, value, minimum, maxCount)
	}
	return n
}

func (p *parser) duration(line Line, key string) time.Duration {
	value := p.requiredArg(line, key)
	if value == "" {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		p.addError(line, "%s=%s is not a time such as 15m or 672h", key, value)
	}
	return d
}

// checkReferences reports every reference to a pool or team that no rule defines, and a second spare pool.
func (p *parser) checkReferences(lines []Line) {
	spares := 0
	for _, line := range lines {
		if line.Kind == "spare" {
			spares++
			if spares > 1 {
				p.addError(line, "there is more than one spare pool")
			}
		}
		if pool, ok := line.Arg("pool"); ok && pool != "" {
			p.checkPool(line, id.Pool(pool))
		}
		for _, key := range []string{"team", "for"} {
			if teams, ok := line.Arg(key); ok && teams != "" {
				p.checkTeams(line, teams)
			}
		}
	}
}

func (p *parser) checkPool(line Line, pool id.Pool) {
	if line.Kind == "wave" && pool == AllPools {
		return
	}
	if _, ok := p.set.Pool(pool); !ok {
		p.addError(line, "no pool is called %q", pool)
	}
}

func (p *parser) checkTeams(line Line, teams string) {
	for _, team := range strings.Split(teams, ",") {
		if _, ok := p.set.Team(id.Team(team)); !ok {
			p.addError(line, "no team is called %q", team)
		}
	}
}

// AllPools is the pool name that stands for every pool in a wave rule.
const AllPools id.Pool = "all"
