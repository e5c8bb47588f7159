package event

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queuedLines bounds the log lines that wait to be written.
	queuedLines = 2048
	writeBuffer = 16 << 10
)

// BoundedWriter writes lines in the background and never blocks its callers:
// while the output does not keep up and the queue is full, lines are dropped
// and counted. A line must come in one call of Write.
type BoundedWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	closing sync.RWMutex
	closed  bool
}

// NewBoundedWriter returns a writer before an output.
func NewBoundedWriter(output io.Writer) *BoundedWriter {
	w := &BoundedWriter{output: output, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It reports success also for a dropped line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.closing.RLock()
	defer w.closing.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines dropped so far.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the writer.
func (w *BoundedWriter) Close() {
	w.closing.Lock()
	already := w.closed
	w.closed = true
	w.closing.Unlock()
	if !already {
		close(w.lines)
	}
	<-w.done
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	buffer := bufio.NewWriterSize(w.output, writeBuffer)
	told := int64(0)
	for line := range w.lines {
		// An output that fails loses its lines; there is nowhere to tell it.
		_, _ = buffer.Write(line)
		if len(w.lines) > 0 {
			continue
		}
		if dropped := w.dropped.Load(); dropped != told {
			NewLogger(buffer, byNumber[LinesDropped].Level).Log(LinesDropped, "total", dropped, "since", dropped-told)
			told = dropped
		}
		_ = buffer.Flush()
	}
	_ = buffer.Flush()
}
