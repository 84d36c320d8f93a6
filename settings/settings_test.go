package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validSettings = `
[entry]
name = v1-a
dc = visayas-1
[listen]
callers = 127.0.0.1:8001
operators = 127.0.0.1:8002
peers = 127.0.0.1:8003
[platform]
address = 127.0.0.1:7000
[peers]
seeds = 127.0.0.1:8013, 127.0.0.1:8023
secret = 0123456789abcdef
[operators]
secret = fedcba9876543210
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Seeds) != 2 || s.Grace != 5*time.Second || s.DataCentre != "visayas-1" {
		t.Errorf("Parse() = %+v", s)
	}
}

func TestParseReportsEveryError(t *testing.T) {
	text := strings.NewReplacer("name = v1-a", "nam = v1-a", "127.0.0.1:8001", "localhost:8001", "secret = fedcba9876543210", "secret = short").Replace(validSettings)
	_, err := Parse([]byte(text + "[extra]\nx = 1\n[stop]\ngrace = soon\n"))
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("Parse() = %v, want Errors", err)
	}
	wants := []string{
		"[entry] name: is missing", "[entry] nam: no setting", "[listen] callers: ", "[operators] secret: is shorter",
		"[extra] : no section", "[stop] grace: ",
	}
	for _, want := range wants {
		if !strings.Contains(errs.Error(), want) {
			t.Errorf("errors lack %q:\n%s", want, errs.Error())
		}
	}
	if len(errs) != len(wants) {
		t.Errorf("%d errors, want %d", len(errs), len(wants))
	}
}

// TestLimits guards against limits that are read with another unit, and against those with which an instance cannot serve.
func TestLimits(t *testing.T) {
	tests := []struct {
		name        string
		text        string
		memory      int64
		descriptors int
		wrong       string
	}{
		{"none", "", 0, 0, ""},
		{"megabytes", "memory = 96MB\ndescriptors = 500", 96 << 20, 500, ""},
		{"gigabytes", "memory = 2GB", 2 << 30, 0, ""},
		{"without a unit", "memory = 96", 0, 0, "[limits] memory: want a size"},
		{"too little memory", "memory = 63MB", 0, 0, "64MB at least"},
		{"negative", "memory = -1GB", 0, 0, "[limits] memory: want a size"},
		{"too few descriptors", "descriptors = 299", 0, 0, "[limits] descriptors: want a whole number"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := Parse([]byte(validSettings + "[limits]\n" + test.text))
			if test.wrong != "" {
				if err == nil || !strings.Contains(err.Error(), test.wrong) {
					t.Errorf("error %v, want %q", err, test.wrong)
				}
				return
			}
			if err != nil || s.Memory != test.memory || s.Descriptors != test.descriptors {
				t.Errorf("%d bytes, %d descriptors, %v; want %d and %d", s.Memory, s.Descriptors, err, test.memory, test.descriptors)
			}
		})
	}
}
