package standin2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is something that a client or a server has seen.
type event struct {
	at               time.Duration
	what, id, detail string
}

// journal records what was sent, answered and run.
type journal struct {
	mu     sync.Mutex
	began  time.Time
	events []event
}

func newJournal() *journal { return &journal{began: time.Now()} }

func (j *journal) add(what, id, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event{time.Since(j.began), what, id, detail})
}

func (j *journal) all() []event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]event(nil), j.events...)
}

// write writes the record to a file, with a verdict as its last line.
func (j *journal) write(path, verdict string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	text := bufio.NewWriter(file)
	for _, e := range j.all() {
		fmt.Fprintf(text, "%9.3f s  %-10s %s %s\n", e.at.Seconds(), e.what, e.id, e.detail)
	}
	fmt.Fprintln(text, verdict)
	return text.Flush()
}
