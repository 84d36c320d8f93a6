// Package entry is one entry instance: it joins the peers, the platform's log, the endpoints and the
// callers to the pure packages. One control thread owns every table (Control.loop); traffic runs on
// a goroutine a request, which asks the control thread where to go and tells it how it went.
package entry
