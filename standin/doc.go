// Package standin provides small fakes of the services of the users' platform: the log, the list of instances and the
// endpoints. The fakes keep their own records of what ran, which checks use, and can be told to fail. They replace the
// platform in tests and trials only.
package standin
