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
