package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

func TestAsyncWriter_NeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	for range 3 * queueCapacity {
		_, err := writer.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.GreaterEq(t, uint64(queueCapacity), writer.Dropped())
	close(out.release)
	writer.Close(time.Minute)
}

func TestAsyncWriter_ReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	writer := NewAsyncWriter(&out)
	writer.dropped.Store(3)
	_, _ = writer.Write([]byte("line\n"))
	writer.Close(time.Minute)
	must.StrContains(t, out.String(), "line\n")
	must.StrContains(t, out.String(), `"left_out":3`)
}

func TestRateLimitedFormatter_LimitsEachKind(t *testing.T) {
	formatter := NewRateLimitedFormatter(&logrus.JSONFormatter{})
	logger := logrus.New()
	format := func(message string, at time.Time) string {
		text, err := formatter.Format(&logrus.Entry{Logger: logger, Message: message, Time: at, Data: logrus.Fields{"part": "p"}})
		must.NoError(t, err)
		return string(text)
	}
	at := time.Unix(100, 0)
	for range maxLinesPerSecond {
		must.NotEq(t, "", format("often", at))
	}
	must.Eq(t, "", format("often", at))
	must.NotEq(t, "", format("rare", at))
	must.True(t, strings.Contains(format("often", at.Add(time.Second)), `"left_out":1`))
}

// BenchmarkAsyncWriter_Blocked measures the cost of a log line while the output blocks.
func BenchmarkAsyncWriter_Blocked(b *testing.B) {
	out := blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(NewRateLimitedFormatter(&logrus.JSONFormatter{}))
	entry := logger.WithField("part", "benchmark")
	b.ReportAllocs()
	for b.Loop() {
		entry.WithField("request", "9c41d07be2a35f68").Info("A request was answered.")
	}
	close(out.release)
	writer.Close(time.Minute)
}
