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
	// queueLines bounds the lines that wait for a reader; with some 300 bytes a
	// line that is 600 KB.
	queueLines = 2048
	// kindPerSecond bounds the lines of one kind: a host serves fewer requests
	// a second, and an engineer reads fewer.
	kindPerSecond = 200
	// leftOutField says how many lines of the kind were left out before this one.
	leftOutField = "left_out"
)

// AsyncWriter is a writer that never blocks: lines wait in a bounded queue for a
// goroutine that writes them, and those that find it full are counted and left
// out. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Uint64
	group   conc.WaitGroup
	once    sync.Once
}

// NewAsyncWriter returns a queue in front of a writer.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{out: out, lines: make(chan []byte, queueLines)}
	q.group.Go(q.drain)
	return q
}

// Write implements io.Writer; it always takes the whole line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.leftOut.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were left out since the start.
func (q *AsyncWriter) Dropped() uint64 { return q.leftOut.Load() }

func (q *AsyncWriter) drain() {
	told := uint64(0)
	for line := range q.lines {
		if _, err := q.out.Write(line); err != nil {
			// There is nowhere left to report to.
			q.leftOut.Add(1)
			continue
		}
		if now := q.leftOut.Load(); now != told {
			_, _ = fmt.Fprintf(q.out, "{\"level\":\"warning\",\"msg\":\"Lines were left out.\",\"part\":\"logs\",%q:%d}\n", leftOutField, now-told)
			told = now
		}
	}
}

// Close writes what waits, for so long at most, and ends the queue. Nothing may
// be written after it.
func (q *AsyncWriter) Close(within time.Duration) {
	q.once.Do(func() { close(q.lines) })
	done := make(chan struct{})
	go func() {
		q.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
}

// RateLimitedFormatter wraps a formatter so that no more than a set number of lines of a kind
// are written in a second. A kind is a part and a message; the next line of a
// kind says how many were left out.
type RateLimitedFormatter struct {
	Formatter logrus.Formatter

	mu    sync.Mutex
	kinds map[kind]*window
}

type kind struct{ part, message string }

type window struct {
	second  int64
	lines   int
	leftOut int
}

// NewRateLimitedFormatter returns a formatter with limits.
func NewRateLimitedFormatter(formatter logrus.Formatter) *RateLimitedFormatter {
	return &RateLimitedFormatter{Formatter: formatter, kinds: make(map[kind]*window)}
}

// Format implements logrus.Formatter; a line over the limit is empty.
func (l *RateLimitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	leftOut, ok := l.admit(entry)
	if !ok {
		return nil, nil
	}
	if leftOut > 0 {
		entry = entry.WithField(leftOutField, leftOut)
	}
	return l.Formatter.Format(entry)
}

// admit reports whether a line may be written, and how many were left out.
func (l *RateLimitedFormatter) admit(entry *logrus.Entry) (int, bool) {
	part, _ := entry.Data[kernel.ServiceLogField].(string)
	key := kind{part: part, message: entry.Message}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.kinds[key]
	if w == nil {
		w = &window{}
		l.kinds[key] = w
	}
	if second := entry.Time.Unix(); second != w.second {
		w.second, w.lines = second, 0
	}
	if w.lines >= kindPerSecond {
		w.leftOut++
		return 0, false
	}
	w.lines++
	leftOut := w.leftOut
	w.leftOut = 0
	return leftOut, true
}
