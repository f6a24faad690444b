package managed

import (
	"slices"
	"strings"
	"sync"
)

// maxLoggedLines is the number of log lines that are printed if a test fails.
const maxLoggedLines = 200

// lastLines keeps the last lines of a log.
type lastLines struct {
	mu    sync.Mutex
	lines []string
	next  int
}

// Write implements io.Writer. Each call is a line.
func (l *lastLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxLoggedLines {
		l.lines = append(l.lines, string(p))
	} else {
		l.lines[l.next] = string(p)
		l.next = (l.next + 1) % maxLoggedLines
	}
	return len(p), nil
}

func (l *lastLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(slices.Concat(l.lines[l.next:], l.lines[:l.next]), "")
}
