// Command marigoldshed manages the capacity and maintenance of a fleet of instances.
package main

import (
	"os"

	"marigoldshed.example/marigoldshed/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
