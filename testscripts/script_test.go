package testscripts

import (
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshed.example/marigoldshed/commands"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"marigoldshed": func() { os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "scripts",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"PLATFORM", "A_CALLERS", "A_OPERATORS", "A_PEERS", "B_CALLERS", "B_OPERATORS", "B_PEERS"} {
				env.Setenv(name, freeAddress(t))
			}
			return nil
		},
	})
}

// freeAddress returns an address that the kernel found free.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
