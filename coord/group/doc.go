// Package group decides how the samples of a group are made from one prompt:
// when a stream on an engine is begun, resumed elsewhere, hedged or given up.
//
// Rules:
//
//   - The first sample is begun alone. The others follow at its first token,
//     when the prompt is in the engine's prefix cache, and a prompt that
//     crashes engines has then crashed one and not as many as there are
//     samples.
//   - A stream that breaks or falls silent is resumed on another server from
//     its last whole chunk. A prefix that is too stale is left behind.
//   - Once the token rates of half of the samples are known, a stream that
//     makes tokens at less than a share of their median is hedged: a second
//     stream goes on from its last chunk, and replaces the slow one when it
//     has come ahead of it. Which one ends first does not count, because that
//     would favour short answers.
//   - Hedges have a budget for the group. Servers on which streams broke are
//     counted as well, so that a prompt cannot wear down a whole zone.
//   - Spans are what engines said of their own chunks.
package group

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Limits bounds what a group may take.
type Limits struct {
	// Size is the count of samples.
	Size int
	// MaxHedges is how many streams may be begun beside a running one.
	MaxHedges int
	// MaxBrokenServers is how many servers may break streams before the group
	// is given up.
	MaxBrokenServers int
	// MaxEmptyStreams is how many streams of one sample in a row may end
	// without a token before the group is given up.
	MaxEmptyStreams int
	// FirstTokenTimeout is how long a server may take until the first chunk, and
	// ChunkTimeout how long from one chunk to the next.
	FirstTokenTimeout, ChunkTimeout time.Duration
	// StragglerRatio is the share of the median rate below which a stream is
	// hedged, from 0 to 1.
	StragglerRatio float64
	// Backoff is the pause before a start that follows a fruitless one; it
	// doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// StalenessBound says which tokens may still become part of a sample.
type StalenessBound struct {
	// MinVersion is the lowest weight version that may be carried over.
	MinVersion structs.WeightVersion
	// MaxAge is how old the oldest token that is carried over may be.
	MaxAge time.Duration
}

// StreamID names one stream of a group.
type StreamID uint64

// StreamStart asks for a stream.
type StreamStart struct {
	Stream StreamID
	// SampleIndex is the index of the sample in the group.
	SampleIndex int
	// Prefix is what was made before, and PrefixTokens its count of tokens.
	Prefix       string
	PrefixTokens int
	// Avoid are servers that failed this sample.
	Avoid []structs.HostName
	// Delay is to pass before the stream begins.
	Delay time.Duration
}

// FinishedSample is a whole sample.
type FinishedSample struct {
	// SampleIndex is the index of the sample in the group.
	SampleIndex int
	Text        string
	Spans       []structs.VersionSpan
	// Born is no later than the making of the oldest token.
	Born time.Time
}

// Effects are what a decision asks for, to be carried out in this order.
type Effects struct {
	Stops    []StreamID
	Starts   []StreamStart
	Finished []FinishedSample
	// FailureCode is the reason why the group is given up, or zero.
	FailureCode result.Code
}

// Chunk is a piece of an engine's answer.
type Chunk struct {
	Text    string
	Tokens  int
	Version structs.WeightVersion
	// Last marks the end of the whole answer.
	Last bool
}

// Counts says what it took to make the group.
type Counts struct {
	// Resumed counts streams that went on elsewhere after a break, Restarted
	// those among them that began anew, and Hedged the hedges.
	Resumed, Restarted, Hedged int
}
