package event

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines is the maximum number of log lines that wait to be written.
	maxQueuedLines   = 2048
	writeBufferBytes = 16 << 10
)

// BoundedWriter queues log lines and writes them in the background, so that a slow
// output never blocks its callers. Lines that arrive while the queue is full are
// dropped and counted. Each call of Write must pass a whole line.
type BoundedWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mutex guards closed, and keeps Close from closing lines during a Write.
	mutex  sync.RWMutex
	closed bool
}

// NewBoundedWriter returns a writer that forwards lines to output. It runs a
// goroutine until Close is called.
func NewBoundedWriter(output io.Writer) *BoundedWriter {
	w := &BoundedWriter{output: output, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails: dropped lines, and lines after Close,
// are reported as written.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mutex.RLock()
	defer w.mutex.RUnlock()
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

// Dropped returns the number of lines dropped because the queue was full.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits until the background goroutine has ended.
// It may be called more than once.
func (w *BoundedWriter) Close() {
	w.mutex.Lock()
	alreadyClosed := w.closed
	w.closed = true
	w.mutex.Unlock()
	if !alreadyClosed {
		close(w.lines)
	}
	<-w.done
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	buffer := bufio.NewWriterSize(w.output, writeBufferBytes)
	reported := int64(0)
	for line := range w.lines {
		// Write errors are ignored: there is no other output to report them to.
		_, _ = buffer.Write(line)
		if len(w.lines) > 0 {
			continue
		}
		if dropped := w.dropped.Load(); dropped != reported {
			NewLogger(buffer, byNumber[LinesDropped].Level).Log(LinesDropped, "total", dropped, "since", dropped-reported)
			reported = dropped
		}
		_ = buffer.Flush()
	}
	_ = buffer.Flush()
}
