package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// Logs is what several log files tell of one job.
type Logs struct {
	job    string
	Lines  []Line // about the job, the units that it met, or the workers that it ran on
	Broken int    // lines that could not be read
	Read   int

	pools   map[string]bool
	workers map[string]bool
	others  []Line
}

// New returns the empty logs of a job.
func New(job string) *Logs {
	return &Logs{job: job, pools: map[string]bool{}, workers: map[string]bool{}}
}

// Add reads one log; a line may carry a prefix before its JSON, and one that cannot be read is counted.
func (l *Logs) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l.Read++
		line, err := parse(text[start:])
		if err != nil {
			l.Broken++
			continue
		}
		l.take(line)
	}
	return errors.Annotate(scanner.Err(), "reading a log")
}

func parse(text []byte) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return Line{}, err
	}
	stamp, _ := fields["ts"].(string)
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stamp)
	if err != nil {
		return Line{}, err
	}
	line := Line{Time: at, Fields: fields}
	line.Instance, _ = fields["instance"].(string)
	line.Message, _ = fields["msg"].(string)
	return line, nil
}

func (l *Logs) take(line Line) {
	if line.text("job") != l.job {
		if line.text("pool") != "" || line.text("unit") != "" || line.text("worker") != "" {
			l.others = append(l.others, line)
		}
		return
	}
	l.Lines = append(l.Lines, line)
	l.pools[line.text("pool")] = true
	l.workers[line.text("worker")] = true
}

func (line Line) text(field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

// margin is how long before and after a job's own lines events around it are told.
const margin = 3 * time.Second

// Tell writes the story in order of time, and what is missing from it.
func (l *Logs) Tell(w io.Writer) {
	if len(l.Lines) == 0 {
		_, _ = fmt.Fprintf(w, "no line of %d names job %s: it reached none of these instances, or their logs were dropped\n", l.Read, l.job)
		return
	}
	sort.SliceStable(l.Lines, func(i, j int) bool { return l.Lines[i].Time.Before(l.Lines[j].Time) })
	first, last := l.Lines[0].Time, l.Lines[len(l.Lines)-1].Time
	all := slices.Clone(l.Lines)
	for _, o := range l.others {
		if o.Time.After(first.Add(-margin)) && o.Time.Before(last.Add(margin)) && l.around(o) {
			all = append(all, o)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	for _, line := range all {
		_, _ = fmt.Fprintf(w, "%9.3fs  %-18s %s%s\n", line.Time.Sub(first).Seconds(), line.Instance, line.Message, line.details(l.job))
	}
	for _, gap := range l.missing() {
		_, _ = fmt.Fprintln(w, "missing:", gap)
	}
}

// around reports whether a line tells of a unit or a worker that the job met; moves of single instances
// are left out.
func (l *Logs) around(line Line) bool {
	if line.text("job") != "" || line.text("machine") != "" {
		return false
	}
	if worker := line.text("worker"); worker != "" {
		return l.workers[worker]
	}
	return l.pools[line.text("pool")] && line.text("pool") != "" || l.pools[line.text("unit")] && line.text("unit") != ""
}

// details returns the fields that a reader has not seen yet, in order.
func (line Line) details(job string) string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		if !slices.Contains([]string{"ts", "level", "msg", "instance", "errorVerbose"}, name) && line.Fields[name] != any(job) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
	}
	return text.String()
}

// missing tells what the story should have and has not.
func (l *Logs) missing() []string {
	seen := map[string]bool{}
	for _, line := range l.Lines {
		seen[line.Message] = true
	}
	var gaps []string
	if !seen["call answered"] {
		gaps = append(gaps, "the caller's call; the log of the instance that took it is not here")
	}
	if !seen["job ended"] {
		gaps = append(gaps, "the end of the job; it goes on, or its last owner's log is not here")
	}
	if l.Broken > 0 {
		gaps = append(gaps, fmt.Sprintf("%d lines could not be read", l.Broken))
	}
	return gaps
}
