package timeline

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

// maxLineBytes limits the length of one log line.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// Logs collects the lines about one job from several log files.
type Logs struct {
	job       string
	Lines     []Line // lines that name the job
	Malformed int    // lines that could not be parsed
	Total     int    // lines with a JSON object, including malformed ones

	pools   map[string]bool // named by the lines of the job
	workers map[string]bool // named by the lines of the job
	context []Line          // lines of other subjects that name a pool, a shard or a worker
}

// New returns Logs for a job, without any line yet.
func New(job string) *Logs {
	return &Logs{job: job, pools: map[string]bool{}, workers: map[string]bool{}}
}

// Add reads one log file. A line may have a prefix before its JSON object; lines without an object are skipped, and
// lines that cannot be parsed are counted.
func (l *Logs) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l.Total++
		line, err := parseLine(text[start:])
		if err != nil {
			l.Malformed++
			continue
		}
		l.addLine(line)
	}
	return errors.Annotate(scanner.Err(), "reading a log")
}

func parseLine(text []byte) (Line, error) {
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

// addLine stores a line of the job, or a line of another subject that Print may write around the job's lines.
func (l *Logs) addLine(line Line) {
	if line.stringField("job") != l.job {
		if line.stringField("pool") != "" || line.stringField("unit") != "" || line.stringField("worker") != "" {
			l.context = append(l.context, line)
		}
		return
	}
	l.Lines = append(l.Lines, line)
	l.pools[line.stringField("pool")] = true
	l.workers[line.stringField("worker")] = true
}

// stringField returns the value of a field, or an empty string when the line has no such string.
func (line Line) stringField(field string) string {
	value, _ := line.Fields[field].(string)
	return value
}

// contextMargin is how long before the first and after the last line of the job other events are printed.
const contextMargin = 3 * time.Second

// Print writes the timeline of the job, and then what is missing from it.
func (l *Logs) Print(w io.Writer) {
	if len(l.Lines) == 0 {
		_, _ = fmt.Fprintf(w, "no line of %d names job %s: the job reached none of these instances, or log lines were dropped\n", l.Total, l.job)
		return
	}
	sort.SliceStable(l.Lines, func(i, j int) bool { return l.Lines[i].Time.Before(l.Lines[j].Time) })
	first, last := l.Lines[0].Time, l.Lines[len(l.Lines)-1].Time
	all := slices.Clone(l.Lines)
	for _, line := range l.context {
		if line.Time.After(first.Add(-contextMargin)) && line.Time.Before(last.Add(contextMargin)) && l.isContext(line) {
			all = append(all, line)
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

// isContext reports whether a line is about a shard that the job's lines name as their pool, or about a worker that
// they name. Lines about a single instance of the platform (field "machine"), such as its move, are left out.
func (l *Logs) isContext(line Line) bool {
	if line.stringField("job") != "" || line.stringField("machine") != "" {
		return false
	}
	if worker := line.stringField("worker"); worker != "" {
		return l.workers[worker]
	}
	return l.pools[line.stringField("pool")] && line.stringField("pool") != "" || l.pools[line.stringField("unit")] && line.stringField("unit") != ""
}

// details returns the other fields in alphabetical order, without the job's ID, the level and the verbose error.
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

// isAcceptance reports whether a line says that the job was stored, so that it ends whatever was rejected before.
func (line Line) isAcceptance() bool {
	status, _ := line.Fields["status"].(float64)
	return line.Message == "call answered" && line.stringField("call") == "POST" && status == 200
}

// missing returns the gaps of the timeline.
func (l *Logs) missing() []string {
	messages := map[string]bool{}
	rejected, accepted := "", false // reason of the newest rejection; whether the job was stored
	for _, line := range l.Lines {
		messages[line.Message] = true
		accepted = accepted || line.isAcceptance()
		if line.Message == "job rejected" {
			rejected = line.stringField("reason")
		}
	}
	var gaps []string
	if !messages["call answered"] {
		gaps = append(gaps, "the caller's call; the log of the instance that handled the call was not read")
	}
	switch {
	case messages["job ended"]:
	case rejected != "" && !accepted:
		gaps = append(gaps, "the end of the job; it was never accepted, and its newest call was rejected: "+rejected)
	default:
		gaps = append(gaps, "the end of the job; the job has not ended, or the log of its last owner was not read")
	}
	if l.Malformed > 0 {
		gaps = append(gaps, fmt.Sprintf("%d lines could not be read", l.Malformed))
	}
	return gaps
}
