package testscripts

import (
	"fmt"
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
			for n, name := range []string{"PLATFORM", "A_CALLERS", "A_OPERATORS", "A_PEERS", "B_CALLERS", "B_OPERATORS", "B_PEERS"} {
				env.Setenv(name, freeAddress(t, n+1))
			}
			return nil
		},
	})
}

// freeAddress returns a free port on the loopback address 127.77.0.n. On 127.0.0.1, an outgoing connection could take
// the port before the script binds it.
func freeAddress(t *testing.T, n int) string {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.77.0.%d:0", n))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
