package rules

import (
	"errors"
	"strings"
	"testing"
)

const sample = `# a sample
pool counter size=10 budget=2 # Maria
spare admin size=4 budget=4 # Maria
team sales share=3 limit=40 # Jose
queue quotes pool=counter for=sales # Jose
key k1 team=sales hash=9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 # Jose
`

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"sample", sample, nil},
		{"no requester", "pool a size=1 budget=0", []string{"line 1: no comment"}},
		{"unknown kind", "zone a # x", []string{`line 1: no rule is called "zone"`}},
		{"a name of 70,000 bytes", "out " + strings.Repeat("a", 70_000) + " # x", []string{"line 1: the name has 70000 letters"}},
		{"every error", "pool a size=0 budget=x # x\nqueue q pool=b for=t # y", []string{
			"line 1: size=0", "line 1: budget=x", `line 2: no pool is called "b"`, `line 2: no team is called "t"`,
		}},
		{"duplicate rule", "team a share=1 limit=1 # x\nteam a share=1 limit=1 # x", []string{"line 2: team a already stands on line 1"}},
		{"bad hash", "team a share=1 limit=1 # x\nkey k team=a hash=zz # x", []string{"line 2: hash is not"}},
		{"unknown argument", "out dc1 now # x", []string{`line 1: out takes no argument "now"`}},
		{"open queue with two teams", "pool p size=1 budget=0 # x\nteam a share=1 limit=1 # x\nteam b share=1 limit=1 # x\n" +
			"queue q pool=p open for=a,b # x", []string{"line 4: an open queue names one team"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse(tt.text)
			if len(tt.want) == 0 {
				if err != nil {
					t.Fatalf("Parse() = %v, want no error", err)
				}
				return
			}
			var errs Errors
			if !errors.As(err, &errs) {
				t.Fatalf("Parse() = %v, want Errors", err)
			}
			for _, want := range tt.want {
				if !strings.Contains(errs.Error(), want) {
					t.Errorf("errors %q lack %q", errs.Error(), want)
				}
			}
		})
	}
}

func TestEdit(t *testing.T) {
	text, err := Edit(sample, []string{"out dc1 # Ana", "team sales share=5 limit=40 # Ana"}, []Ref{{Kind: "key", Name: "k1"}})
	if err != nil {
		t.Fatal(err)
	}
	set, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if !set.IsOut("dc1") || len(set.Keys) != 0 || set.Teams[0].Share != 5 {
		t.Errorf("edited file parses as %+v", set)
	}
	if !strings.HasPrefix(text, "# a sample\n") {
		t.Error("a comment line was lost")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("pool a size=1 budget=0 # x\nout b # y")
	f.Fuzz(func(t *testing.T, text string) {
		lines, errs := Lines(text)
		if len(errs) > 0 {
			return
		}
		for _, line := range lines {
			again, errs := Lines(line.String())
			if len(errs) > 0 || len(again) != 1 || again[0].Ref() != line.Ref() {
				t.Fatalf("line %q does not parse back to itself", line.String())
			}
		}
	})
}
