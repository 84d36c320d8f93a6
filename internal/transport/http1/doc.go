// Package http1 sends HTTP/1.1 requests over persistent connections. It is an http.RoundTripper for short exchanges
// whose bodies fit into memory: the caller's goroutine writes the request and reads the whole response, while
// http.Transport keeps two goroutines for each connection, whose wake-ups cost an instance that sends thousands of
// orders a second most of its processor time. It never sends a request twice.
package http1
