// Package standin holds small fakes of what the users' platform offers: the log, the list of
// instances and the endpoints. They keep their own records of what ran, which checks rest on, and
// can be told to fail. They take the platform's place in tests and trials only.
package standin
