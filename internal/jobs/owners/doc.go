// Package owners decides which instance owns which unit of work. An owner stays for as long as it lives,
// since every change of owner costs its unit a pause; units of owners that are gone go to the instances
// with the most room. The package does no I/O; instances that know the same decide alike, and those that
// do not are kept apart by the fences of the claims.
package owners
