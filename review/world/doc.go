// Command world plays the platform, the workers and the clients of a small deployment on loopback addresses, starts the
// project's entry instances as separate processes, and checks one rule. Each case of the review is one scenario.
//
// The stand-ins follow the users' pages PROTOCOL.md and DEPLOY.md. The exit status is 0 if the rule held, 1 if it was
// broken and 2 if the scenario could not run.
package main
