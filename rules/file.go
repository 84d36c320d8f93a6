package rules

import (
	"strings"
)

// Line is one rule as it stands in the file: its kind, its name, its arguments and who asked for it.
type Line struct {
	Number      int
	Kind        string
	Name        string
	Args        []Arg
	RequestedBy string
}

// Arg is one word after a rule's name: a flag, or a key with a value.
type Arg struct {
	Key   string
	Value string
}

// Ref names one rule of a file by its kind and name.
type Ref struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Ref returns the name under which a line can be replaced or removed.
func (l Line) Ref() Ref { return Ref{Kind: l.Kind, Name: l.Name} }

// Arg returns the value of a key and whether the line has it.
func (l Line) Arg(key string) (string, bool) {
	for _, a := range l.Args {
		if a.Key == key {
			return a.Value, true
		}
	}
	return "", false
}

// String writes the line in its canonical form.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Kind)
	b.WriteByte(' ')
	b.WriteString(l.Name)
	for _, a := range l.Args {
		b.WriteByte(' ')
		b.WriteString(a.Key)
		if a.Value != "" {
			b.WriteByte('=')
			b.WriteString(a.Value)
		}
	}
	b.WriteString(" # ")
	b.WriteString(l.RequestedBy)
	return b.String()
}

// Lines splits a rules file into its rules; lines that are empty or hold only a comment are skipped.
func Lines(text string) ([]Line, Errors) {
	var lines []Line
	var errs Errors
	for i, raw := range strings.Split(text, "\n") {
		body, requestedBy, _ := strings.Cut(raw, "#")
		words := strings.Fields(body)
		if len(words) == 0 {
			continue
		}
		line, reason := newLine(i+1, words, strings.TrimSpace(requestedBy))
		if reason != "" {
			errs = append(errs, LineError{Line: i + 1, Reason: reason})
			continue
		}
		lines = append(lines, line)
	}
	return lines, errs
}

func newLine(number int, words []string, requestedBy string) (Line, string) {
	if len(words) < 2 {
		return Line{}, "a rule needs a kind and a name"
	}
	if requestedBy == "" {
		return Line{}, "no comment that names who asked for the rule"
	}
	line := Line{Number: number, Kind: words[0], Name: words[1], RequestedBy: requestedBy}
	for _, word := range words[2:] {
		key, value, _ := strings.Cut(word, "=")
		if _, ok := line.Arg(key); ok {
			return Line{}, "argument " + key + " stands twice"
		}
		line.Args = append(line.Args, Arg{Key: key, Value: value})
	}
	return line, ""
}

// Edit returns the text with the rules of set added or replaced and those of remove removed.
// It fails with Errors when a line of set cannot be parsed.
func Edit(text string, set []string, remove []Ref) (string, error) {
	replacements := make(map[Ref]string, len(set)+len(remove))
	for _, ref := range remove {
		replacements[ref] = ""
	}
	var added []Ref
	for _, raw := range set {
		lines, errs := Lines(raw)
		if len(errs) > 0 {
			return "", errs
		}
		for _, line := range lines {
			replacements[line.Ref()] = line.String()
			added = append(added, line.Ref())
		}
	}
	return rewrite(text, replacements, added), nil
}

func rewrite(text string, replacements map[Ref]string, added []Ref) string {
	var out []string
	written := map[Ref]bool{}
	for _, raw := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		lines, errs := Lines(raw)
		if len(errs) > 0 || len(lines) == 0 {
			out = append(out, raw)
			continue
		}
		ref := lines[0].Ref()
		replacement, ok := replacements[ref]
		switch {
		case !ok:
			out = append(out, raw)
		case replacement != "" && !written[ref]:
			out = append(out, replacement)
			written[ref] = true
		}
	}
	for _, ref := range added {
		if !written[ref] {
			out = append(out, replacements[ref])
			written[ref] = true
		}
	}
	return strings.TrimLeft(strings.Join(out, "\n")+"\n", "\n")
}
