package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Ending is the way in which a stream ended, or Running.
type Ending string

// Endings of a stream.
const (
	Running   Ending = "running"
	Whole     Ending = "whole"
	Cut       Ending = "cut"
	Cancelled Ending = "cancelled"
)

// StreamRecord is the engine's record of a stream.
type StreamRecord struct {
	ID string `json:"id"`
	// PrefixTokens is the number of tokens that other engines generated before.
	PrefixTokens int `json:"prefix_tokens"`
	// Spans are the weight versions that generated this engine's tokens.
	Spans  []structs.VersionSpan `json:"spans"`
	Ending Ending                `json:"ending"`
}

// stream is a generation on the engine. The engine's mutex guards it.
type stream struct {
	request       outside.GenerateRequest
	arrivalNumber uint64
	// slot is its index in the batch, valid while running is set.
	slot    int
	running bool
	// prefillSteps is the number of steps left before its first token.
	prefillSteps int
	// generatedTokens counts this engine's tokens, totalTokens those of the whole
	// response, including the prefix.
	generatedTokens, totalTokens int
	record                       *StreamRecord
	// unsent holds the chunks that Generate has not emitted yet. updateSignal is
	// signalled on each new chunk and at the end.
	unsent       []outside.Chunk
	updateSignal chan struct{}
}

// LengthOf returns the number of tokens in the response to a request. It depends
// only on the prompt, the seed and MaxTokens, so that a response resumed on
// another engine has the same length.
func LengthOf(request outside.GenerateRequest) int {
	shortest := max(1, request.MaxTokens/2)
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d/%s", request.Seed, request.Prompt)
	return shortest + int(digest.Sum64()%uint64(request.MaxTokens-shortest+1))
}

// TokenText returns the text of a token: its index in the whole response and the
// weight version that generated it.
func TokenText(index int, version structs.WeightVersion) string {
	return fmt.Sprintf("t%d@%d ", index, version)
}

// SpansOf computes the version spans of a body made of TokenText. It fails when
// the tokens are not numbered from zero without a gap.
func SpansOf(body string) ([]structs.VersionSpan, error) {
	var spans []structs.VersionSpan
	for index, token := range strings.Fields(body) {
		var number int
		var version structs.WeightVersion
		if _, err := fmt.Sscanf(token, "t%d@%d", &number, &version); err != nil {
			return nil, fmt.Errorf("token %q: %w", token, err)
		}
		if number != index {
			return nil, fmt.Errorf("token %q at index %d", token, index)
		}
		spans = appendSpan(spans, version, 1)
	}
	return spans, nil
}

// appendSpan adds tokens to the last span if it has the same version, and to a
// new span otherwise.
func appendSpan(spans []structs.VersionSpan, version structs.WeightVersion, tokens int) []structs.VersionSpan {
	if lastIndex := len(spans) - 1; lastIndex >= 0 && spans[lastIndex].Version == version {
		spans[lastIndex].Tokens += tokens
		return spans
	}
	return append(spans, structs.VersionSpan{Version: version, Tokens: tokens})
}

// remainingTokens returns the number of tokens still to be generated.
func (st *stream) remainingTokens() int {
	return st.totalTokens - st.request.PrefixTokens - st.generatedTokens
}

// appendTokens generates up to count tokens of a version, as one chunk.
func (st *stream) appendTokens(count int, version structs.WeightVersion) {
	var text strings.Builder
	count = min(count, st.remainingTokens())
	for range count {
		text.WriteString(TokenText(st.request.PrefixTokens+st.generatedTokens, version))
		st.generatedTokens++
	}
	st.record.Spans = appendSpan(st.record.Spans, version, count)
	st.appendChunk(outside.Chunk{Text: text.String(), Tokens: count, Version: version, Last: st.remainingTokens() == 0})
}

func (st *stream) appendChunk(chunk outside.Chunk) {
	st.unsent = append(st.unsent, chunk)
	st.notifyReader()
}

// finish sets the ending of a running stream. A later call keeps the first
// ending.
func (st *stream) finish(ending Ending) {
	if st.record.Ending == Running {
		st.record.Ending = ending
	}
	st.notifyReader()
}

func (st *stream) notifyReader() {
	select {
	case st.updateSignal <- struct{}{}:
	default:
	}
}
