package relay

import (
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestPresenceOfEarlierVersions guards against a mixed fleet in which a newer instance takes the answer of an older one, which
// says only whether it has a job, for a denial.
func TestPresenceOfEarlierVersions(t *testing.T) {
	tests := []struct {
		name  string
		reply PresenceReply
		want  job.Presence
	}{
		{"an older instance has the job", PresenceReply{Known: true}, job.Present},
		{"an older instance does not", PresenceReply{}, job.Absent},
		{"present", NewPresenceReply(job.Present), job.Present},
		{"forwarded", NewPresenceReply(job.Forwarded), job.Forwarded},
		{"tombstone", NewPresenceReply(job.Tombstone), job.Tombstone},
	}
	for _, test := range tests {
		if got := test.reply.Answer(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if test.reply.Known != test.want.Known() {
			t.Errorf("%s: an older instance reads %v, want %v", test.name, test.reply.Known, test.want.Known())
		}
	}
}
