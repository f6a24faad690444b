package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	// queueCapacity bounds the queue of unwritten lines; at about 300 bytes per line
	// it takes 600 KB.
	queueCapacity = 2048
	// maxLinesPerSecond bounds the lines of one kind. A host serves fewer requests
	// per second, and no engineer reads more.
	maxLinesPerSecond = 200
	// droppedField is the log field with the number of lines that were dropped
	// before this one.
	droppedField = "left_out"
)

// AsyncWriter is a writer that never blocks. A goroutine writes lines from a bounded
// queue; lines that find the queue full are dropped and counted. It is safe for
// concurrent use.
type AsyncWriter struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Uint64
	writer    conc.WaitGroup
	closeOnce sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, queueCapacity)}
	a.writer.Go(a.writeQueued)
	return a
}

// Write implements io.Writer. It never fails and reports the whole line as written.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// writeQueued writes lines until the queue is closed. After a line that follows dropped
// ones it writes how many were dropped.
func (a *AsyncWriter) writeQueued() {
	reported := uint64(0)
	for line := range a.lines {
		if _, err := a.out.Write(line); err != nil {
			// The log itself is broken, so the error cannot be logged.
			a.dropped.Add(1)
			continue
		}
		if now := a.dropped.Load(); now != reported {
			_, _ = fmt.Fprintf(a.out, "{\"level\":\"warning\",\"msg\":\"Log lines were dropped.\",\"part\":\"logs\",%q:%d}\n", droppedField, now-reported)
			reported = now
		}
	}
}

// Close closes the queue and waits until its lines are written, or until the timeout.
// Write must not be called after Close.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.closeOnce.Do(func() { close(a.lines) })
	done := make(chan struct{})
	go func() {
		a.writer.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// RateLimitedFormatter wraps a formatter and limits the lines of one kind per second. A
// kind is a service and a message. The next line of the kind reports how many were
// dropped.
type RateLimitedFormatter struct {
	Formatter logrus.Formatter

	mu    sync.Mutex
	kinds map[lineKind]*rateWindow
}

type lineKind struct{ service, message string }

// rateWindow counts the lines of one kind in the current second.
type rateWindow struct {
	second  int64
	lines   int
	dropped int
}

// NewRateLimitedFormatter returns a RateLimitedFormatter around a formatter.
func NewRateLimitedFormatter(formatter logrus.Formatter) *RateLimitedFormatter {
	return &RateLimitedFormatter{Formatter: formatter, kinds: make(map[lineKind]*rateWindow)}
}

// Format implements logrus.Formatter. It returns no bytes for a line over the limit.
func (f *RateLimitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	dropped, ok := f.admit(entry)
	if !ok {
		return nil, nil
	}
	if dropped > 0 {
		entry = entry.WithField(droppedField, dropped)
	}
	return f.Formatter.Format(entry)
}

// admit reports whether a line may be written, and how many lines of its kind were
// dropped before it.
func (f *RateLimitedFormatter) admit(entry *logrus.Entry) (int, bool) {
	service, _ := entry.Data[kernel.ServiceLogField].(string)
	key := lineKind{service: service, message: entry.Message}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.kinds[key]
	if w == nil {
		w = &rateWindow{}
		f.kinds[key] = w
	}
	if second := entry.Time.Unix(); second != w.second {
		w.second, w.lines = second, 0
	}
	if w.lines >= maxLinesPerSecond {
		w.dropped++
		return 0, false
	}
	w.lines++
	dropped := w.dropped
	w.dropped = 0
	return dropped, true
}
