package stdout

import (
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
)

// blockedWriter is a standard output that nobody reads: Write blocks until the channel is closed.
type blockedWriter struct{ block chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.block
	return len(line), nil
}

// TestFullBufferDropsLines writes more lines than the buffer holds to an output that blocks: writing must not block,
// and the dropped lines must be counted.
func TestFullBufferDropsLines(t *testing.T) {
	w := NewWriter(blockedWriter{block: make(chan struct{})})
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
		t.Fatal("writing log lines blocks, want lines beyond the buffer dropped")
	}
	if dropped := w.Dropped(); dropped < bufferLines-1 || dropped > bufferLines {
		t.Errorf("%d lines are counted as dropped, want those that the buffer has no space for", dropped)
	}
}

// TestRepeatedLinesAreSampled checks that the first lines with the same message are kept and later ones are sampled.
func TestRepeatedLinesAreSampled(t *testing.T) {
	w := &Writer{lines: make(chan []byte, bufferLines)}
	logger := NewLogger(w, zapcore.InfoLevel)
	for range 3 * sampleFirst {
		logger.Info("the same")
	}
	if kept := len(w.lines); kept < sampleFirst || kept > 2*sampleFirst {
		t.Errorf("%d lines of %d are kept, want the first ones and a sample of the others", kept, 3*sampleFirst)
	}
}

// TestLongLinesAreBounded guards against lines that clients make long and that exhaust the memory while nobody reads the output.
func TestLongLinesAreBounded(t *testing.T) {
	block := make(chan struct{})
	w := NewWriter(blockedWriter{block: block})
	line := make([]byte, 16<<10)
	for range bufferLines {
		_, _ = w.Write(line)
	}
	if queued := w.queued.Load(); queued > bufferBytes {
		t.Errorf("%d bytes are queued, want %d at most", queued, bufferBytes)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(block)
	for until := time.Now().Add(5 * time.Second); w.queued.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes count as queued after all were written", w.queued.Load())
		}
	}
}
