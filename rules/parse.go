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

// Parse reads a rules file; it fails with Errors that name every fault.
func Parse(text string) (*Set, error) {
	if len(text) > maxTextBytes {
		return nil, Errors{{Line: 1, Reason: "the file is larger than 1 MiB"}}
	}
	lines, faults := Lines(text)
	p := &parser{faults: faults, seen: map[Ref]int{}}
	for _, line := range lines {
		p.line(line)
	}
	p.check(lines)
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
		return nil, p.faults
	}
	return &p.set, nil
}

type parser struct {
	set    Set
	faults Errors
	seen   map[Ref]int
}

func (p *parser) fault(line Line, format string, args ...any) {
	p.faults = append(p.faults, LineError{Line: line.Number, Reason: fmt.Sprintf(format, args...)})
}

// line reads one rule into the set.
func (p *parser) line(line Line) {
	if len(line.Name) > maxNameBytes {
		p.fault(line, "the name has %d letters, %d at most", len(line.Name), maxNameBytes)
		return
	}
	if first, ok := p.seen[line.Ref()]; ok {
		p.fault(line, "%s %s already stands on line %d", line.Kind, line.Name, first)
		return
	}
	p.seen[line.Ref()] = line.Number
	switch line.Kind {
	case "pool", "spare":
		p.only(line, "size", "budget")
		pool := Pool{Name: id.Pool(line.Name), Size: p.count(line, "size", 1), Budget: p.count(line, "budget", 0)}
		pool.Spare = line.Kind == "spare"
		p.set.Pools = append(p.set.Pools, pool)
	case "queue":
		p.queue(line)
	case "team":
		p.only(line, "share", "limit")
		team := Team{Name: id.Team(line.Name), Share: p.count(line, "share", 1), Limit: p.count(line, "limit", 0)}
		p.set.Teams = append(p.set.Teams, team)
	case "key":
		p.key(line)
	case "out":
		p.only(line)
		p.set.Outs = append(p.set.Outs, id.DataCentre(line.Name))
	case "drain":
		p.only(line)
		p.set.Drains = append(p.set.Drains, Drain{Instance: id.Instance(line.Name)})
	case "move":
		p.only(line, "pool")
		p.set.Moves = append(p.set.Moves, Move{Instance: id.Instance(line.Name), Pool: id.Pool(p.word(line, "pool"))})
	case "wave":
		p.only(line, "pool")
		p.set.Waves = append(p.set.Waves, Wave{Name: line.Name, Pool: id.Pool(p.word(line, "pool"))})
	case "maintain":
		p.only(line, "every")
		p.set.Maintains = append(p.set.Maintains, Maintain{Name: line.Name, Every: p.span(line, "every")})
	case "cutoff":
		p.only(line, "hold")
		cutoff := Cutoff{DataCentre: id.DataCentre(line.Name), Hold: p.span(line, "hold")}
		if cutoff.Hold > maxHold {
			p.fault(line, "hold is longer than %s", maxHold)
		}
		p.set.Cutoffs = append(p.set.Cutoffs, cutoff)
	default:
		p.fault(line, "no rule is called %q", line.Kind)
	}
}

func (p *parser) queue(line Line) {
	p.only(line, "pool", "open", "for")
	queue := Queue{Name: id.Queue(line.Name), Pool: id.Pool(p.word(line, "pool"))}
	_, queue.Open = line.Arg("open")
	for _, team := range strings.Split(p.word(line, "for"), ",") {
		queue.Teams = append(queue.Teams, id.Team(team))
	}
	if queue.Open && len(queue.Teams) != 1 {
		p.fault(line, "an open queue names one team in for=, which work without a key counts for")
	}
	p.set.Queues = append(p.set.Queues, queue)
}

func (p *parser) key(line Line) {
	p.only(line, "team", "hash")
	key := Key{Name: line.Name, Team: id.Team(p.word(line, "team")), Hash: p.word(line, "hash")}
	raw, err := hex.DecodeString(key.Hash)
	if err != nil || len(raw) != keyHashBytes {
		p.fault(line, "hash is not a SHA-256 in hex")
	}
	p.set.Keys = append(p.set.Keys, key)
}

// only names every argument that the rule does not know.
func (p *parser) only(line Line, known ...string) {
	set := id.NewSet(known...)
	for _, arg := range line.Args {
		if !set.Has(arg.Key) {
			p.fault(line, "%s takes no argument %q", line.Kind, arg.Key)
		}
	}
}

func (p *parser) word(line Line, key string) string {
	value, _ := line.Arg(key)
	if value == "" {
		p.fault(line, "%s needs %s=", line.Kind, key)
	}
	return value
}

func (p *parser) count(line Line, key string, least int) int {
	value := p.word(line, key)
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < least || n > maxCount {
		p.fault(line, "%s=%s is not a whole number from %d to %d", key, value, least, maxCount)
	}
	return n
}

func (p *parser) span(line Line, key string) time.Duration {
	value := p.word(line, key)
	if value == "" {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		p.fault(line, "%s=%s is not a time such as 15m or 672h", key, value)
	}
	return d
}

// check names every rule that refers to a pool or team that no rule makes.
func (p *parser) check(lines []Line) {
	spares := 0
	for _, line := range lines {
		if line.Kind == "spare" {
			spares++
			if spares > 1 {
				p.fault(line, "there is more than one spare pool")
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
		p.fault(line, "no pool is called %q", pool)
	}
}

func (p *parser) checkTeams(line Line, teams string) {
	for _, team := range strings.Split(teams, ",") {
		if _, ok := p.set.Team(id.Team(team)); !ok {
			p.fault(line, "no team is called %q", team)
		}
	}
}

// AllPools is the word that a wave rule uses for every pool.
const AllPools id.Pool = "all"
