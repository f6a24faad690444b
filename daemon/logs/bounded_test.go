package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

func TestQueue_ReaderThatNeverReadsBlocksNobody(t *testing.T) {
	out := stuck{release: make(chan struct{})}
	q := NewAsyncWriter(out)
	for range 3 * queueLines {
		_, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.GreaterEq(t, uint64(queueLines), q.Dropped())
	close(out.release)
	q.Close(time.Minute)
}

func TestQueue_TellsHowManyLinesWereLeftOut(t *testing.T) {
	var out bytes.Buffer
	q := NewAsyncWriter(&out)
	q.leftOut.Store(3)
	_, _ = q.Write([]byte("line\n"))
	q.Close(time.Minute)
	must.StrContains(t, out.String(), "line\n")
	must.StrContains(t, out.String(), `"left_out":3`)
}

func TestLimited_LeavesOutLinesOfOneKindOnly(t *testing.T) {
	limited := NewRateLimitedFormatter(&logrus.JSONFormatter{})
	logger := logrus.New()
	format := func(message string, at time.Time) string {
		text, err := limited.Format(&logrus.Entry{Logger: logger, Message: message, Time: at, Data: logrus.Fields{"part": "p"}})
		must.NoError(t, err)
		return string(text)
	}
	at := time.Unix(100, 0)
	for range kindPerSecond {
		must.NotEq(t, "", format("often", at))
	}
	must.Eq(t, "", format("often", at))
	must.NotEq(t, "", format("rare", at))
	must.True(t, strings.Contains(format("often", at.Add(time.Second)), `"left_out":1`))
}

// BenchmarkQueue_StuckReader is the cost of a line while nobody reads.
func BenchmarkQueue_StuckReader(b *testing.B) {
	out := stuck{release: make(chan struct{})}
	q := NewAsyncWriter(out)
	logger := logrus.New()
	logger.SetOutput(q)
	logger.SetFormatter(NewRateLimitedFormatter(&logrus.JSONFormatter{}))
	entry := logger.WithField("part", "benchmark")
	b.ReportAllocs()
	for b.Loop() {
		entry.WithField("request", "9c41d07be2a35f68").Info("A request was answered.")
	}
	close(out.release)
	q.Close(time.Minute)
}
