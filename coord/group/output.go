package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// answer is what streams have made of a sample.
type answer struct {
	text   []byte
	tokens int
	spans  []structs.VersionSpan
	// born is no later than the making of the oldest token.
	born time.Time
}

// empty reports whether a chunk adds nothing to an answer.
func (c Chunk) empty() bool { return c.Tokens == 0 && c.Text == "" }

// attributed reports whether the chunk names the version that made it.
func (c Chunk) attributed() bool { return c.empty() || c.Tokens >= 0 && c.Version != 0 }

// add appends a chunk of a stream that began at a time. The token may be as
// old as the stream, so that its beginning is the time that errs on the safe
// side.
func (a *answer) add(chunk Chunk, begun time.Time) {
	if chunk.empty() {
		return
	}
	if len(a.spans) == 0 {
		a.born = begun
	}
	a.text = append(a.text, chunk.Text...)
	a.tokens += chunk.Tokens
	if last := len(a.spans) - 1; last >= 0 && a.spans[last].Version == chunk.Version {
		a.spans[last].Tokens += chunk.Tokens
		return
	}
	a.spans = append(a.spans, structs.VersionSpan{Version: chunk.Version, Tokens: chunk.Tokens})
}

// clone returns an answer that can grow apart from this one.
func (a answer) clone() answer {
	a.text, a.spans = slices.Clone(a.text), slices.Clone(a.spans)
	return a
}

// freshAt reports whether the answer may still become part of a sample.
func (a answer) freshAt(now time.Time, fresh StalenessBound) bool {
	for _, span := range a.spans {
		if span.Version < fresh.MinVersion {
			return false
		}
	}
	return fresh.MaxAge == 0 || now.Sub(a.born) <= fresh.MaxAge
}
