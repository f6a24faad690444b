package group

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// output is the part of a sample that streams have generated so far.
type output struct {
	text   []byte
	tokens int
	spans  []structs.VersionSpan
	// born is a lower bound for the time at which the oldest token was
	// generated.
	born time.Time
}

// isEmpty reports whether the chunk has neither tokens nor text.
func (c Chunk) isEmpty() bool { return c.Tokens == 0 && c.Text == "" }

// hasVersion reports whether the chunk names the weight version that generated it.
// An empty chunk needs none.
func (c Chunk) hasVersion() bool { return c.isEmpty() || c.Tokens >= 0 && c.Version != 0 }

// addChunk appends a chunk of a stream that started at streamStart. The first token
// may be as old as its stream, so the start of the stream is the conservative
// value for born.
func (o *output) addChunk(chunk Chunk, streamStart time.Time) {
	if chunk.isEmpty() {
		return
	}
	if len(o.spans) == 0 {
		o.born = streamStart
	}
	o.text = append(o.text, chunk.Text...)
	o.tokens += chunk.Tokens
	if last := len(o.spans) - 1; last >= 0 && o.spans[last].Version == chunk.Version {
		o.spans[last].Tokens += chunk.Tokens
		return
	}
	o.spans = append(o.spans, structs.VersionSpan{Version: chunk.Version, Tokens: chunk.Tokens})
}

// clone returns a copy that can be appended to independently.
func (o output) clone() output {
	o.text, o.spans = slices.Clone(o.text), slices.Clone(o.spans)
	return o
}

// withinBound reports whether the output is fresh enough to become part of a
// sample.
func (o output) withinBound(now time.Time, staleness StalenessBound) bool {
	for _, span := range o.spans {
		if span.Version < staleness.MinVersion {
			return false
		}
	}
	return staleness.MaxAge == 0 || now.Sub(o.born) <= staleness.MaxAge
}
