package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Ending says how a stream ended.
type Ending string

// The endings.
const (
	Running   Ending = "running"
	Whole     Ending = "whole"
	Cut       Ending = "cut"
	Cancelled Ending = "cancelled"
)

// StreamRecord is the engine's own record of a stream.
type StreamRecord struct {
	ID string `json:"id"`
	// PrefixTokens is the count of tokens that were made elsewhere.
	PrefixTokens int `json:"prefix_tokens"`
	// Spans are the versions that made this engine's tokens.
	Spans  []structs.VersionSpan `json:"spans"`
	Ending Ending                `json:"ending"`
}

// stream is a generation on the engine. The engine's lock guards it.
type stream struct {
	generation outside.GenerateRequest
	arrival    uint64
	// slot is its place in the batch, and running whether it has one.
	slot    int
	running bool
	// prefill is how many steps are left before its first token.
	prefill int
	// made counts this engine's tokens, and total those of the whole answer.
	made, total int
	record      *StreamRecord
	// pending are the chunks not yet sent; more is signalled for each.
	pending []outside.Chunk
	more    chan struct{}
}

// LengthOf returns how many tokens the answer to a generation has. It depends
// on the prompt and the seed only, so that a resumed answer is as long.
func LengthOf(generation outside.GenerateRequest) int {
	shortest := max(1, generation.MaxTokens/2)
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d/%s", generation.Seed, generation.Prompt)
	return shortest + int(digest.Sum64()%uint64(generation.MaxTokens-shortest+1))
}

// TokenText is the text of a token: its index in the whole answer and the
// version that made it.
func TokenText(index int, version structs.WeightVersion) string {
	return fmt.Sprintf("t%d@%d ", index, version)
}

// SpansOf recomputes the spans of a body made of TokenText. It fails when the
// tokens are not numbered from zero without a gap.
func SpansOf(body string) ([]structs.VersionSpan, error) {
	var spans []structs.VersionSpan
	for index, token := range strings.Fields(body) {
		var number int
		var version structs.WeightVersion
		if _, err := fmt.Sscanf(token, "t%d@%d", &number, &version); err != nil {
			return nil, fmt.Errorf("token %q: %w", token, err)
		}
		if number != index {
			return nil, fmt.Errorf("token %q stands at place %d", token, index)
		}
		spans = extend(spans, version, 1)
	}
	return spans, nil
}

// extend adds tokens of a version to the last span, or begins a new one.
func extend(spans []structs.VersionSpan, version structs.WeightVersion, tokens int) []structs.VersionSpan {
	if last := len(spans) - 1; last >= 0 && spans[last].Version == version {
		spans[last].Tokens += tokens
		return spans
	}
	return append(spans, structs.VersionSpan{Version: version, Tokens: tokens})
}

// left is how many tokens of the answer are still to be made.
func (st *stream) left() int { return st.total - st.generation.PrefixTokens - st.made }

// advance makes at most count tokens of a version.
func (st *stream) advance(count int, version structs.WeightVersion) {
	var text strings.Builder
	count = min(count, st.left())
	for range count {
		text.WriteString(TokenText(st.generation.PrefixTokens+st.made, version))
		st.made++
	}
	st.record.Spans = extend(st.record.Spans, version, count)
	st.push(outside.Chunk{Text: text.String(), Tokens: count, Version: version, Last: st.left() == 0})
}

func (st *stream) push(chunk outside.Chunk) {
	st.pending = append(st.pending, chunk)
	st.signal()
}

// end marks the stream as ended, unless it already is.
func (st *stream) end(how Ending) {
	if st.record.Ending == Running {
		st.record.Ending = how
	}
	st.signal()
}

func (st *stream) signal() {
	select {
	case st.more <- struct{}{}:
	default:
	}
}
