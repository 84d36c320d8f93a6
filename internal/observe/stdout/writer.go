package stdout

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// What is buffered for a slow reader.
const (
	bufferLines = 4096
	bufferBytes = 4 << 20
)

// Writer passes lines to a goroutine that writes them. It implements zapcore.WriteSyncer.
type Writer struct {
	lines   chan []byte
	queued  atomic.Int64 // bytes of lines
	dropped atomic.Int64
	out     io.Writer
}

// NewWriter returns a Writer that writes to out, and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), out: out}
	go w.run()
	return w
}

// Write queues a copy of a line, or drops the line when the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > bufferBytes {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop(size)
	}
	return len(line), nil
}

// drop counts a line of a size that was not queued.
func (w *Writer) drop(size int64) {
	w.queued.Add(-size)
	w.dropped.Add(1)
}

// Sync does nothing: waiting for a reader could block the program.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped or could not be written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		w.queued.Add(-int64(len(line)))
	}
}

// Sampling of repeated lines: in each period, the first lines with the same message are kept, then every n-th one.
const (
	samplePeriod = time.Second
	sampleFirst  = 300
	sampleEvery  = 100
)

// NewLogger returns a logger that writes JSON lines to a Writer and samples repeated messages.
func NewLogger(w *Writer, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, samplePeriod, sampleFirst, sampleEvery))
}
