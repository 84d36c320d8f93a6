package stdout

import (
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
)

// stuck is a standard output that nobody reads.
type stuck struct{ never chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.never
	return len(line), nil
}

// TestReaderThatNeverReads logs more than the buffer holds to an output that blocks: the program goes on,
// and what was dropped is counted.
func TestReaderThatNeverReads(t *testing.T) {
	w := NewWriter(stuck{never: make(chan struct{})})
	done := make(chan struct{})
	go func() {
		for range 2 * bufferLines {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks")
	}
	if dropped := w.Dropped(); dropped < bufferLines-1 || dropped > bufferLines {
		t.Errorf("%d lines are counted as dropped", dropped)
	}
}

// TestRepeatedLines keeps the first lines of a message in a second and samples the rest.
func TestRepeatedLines(t *testing.T) {
	w := &Writer{lines: make(chan []byte, bufferLines)}
	logger := NewLogger(w, zapcore.InfoLevel)
	for range 3 * sampleFirst {
		logger.Info("the same")
	}
	if kept := len(w.lines); kept < sampleFirst || kept > 2*sampleFirst {
		t.Errorf("%d lines of %d are kept", kept, 3*sampleFirst)
	}
}
