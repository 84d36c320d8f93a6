// Package untrusted runs one instance, of run or of serve, as a separate process and loads it with clients that do not behave: they send
// bodies and never end them, or more legal work than its memory bears. It checks that the process stays alive, within its memory and its
// descriptors, and answers afterwards. It has only tests, which run with the flag -untrusted.
package untrusted
