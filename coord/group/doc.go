// Package group decides how the samples of a group are generated from one prompt:
// when a stream on an engine is started, resumed on another server, hedged or
// given up.
//
// Rules:
//
//   - The first sample starts alone. The others start at its first token, when
//     the prompt is in the engine's prefix cache. A prompt that crashes engines
//     has then crashed one instead of one per sample.
//   - A stream that breaks or times out is resumed on another server from its
//     last complete chunk. A prefix that is too stale is dropped.
//   - Once the token rates of half of the samples are known, a stream slower than
//     a fraction of their median is hedged: a second stream continues from its
//     last chunk and replaces the slow one as soon as it has more tokens. The
//     stream that finishes first is not preferred, because that would favor
//     short samples.
//   - The number of hedges per group is limited. So is the number of servers on
//     which streams broke, so that one prompt cannot break every server of a zone.
//   - Version spans are those that engines reported with their chunks.
package group

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Limits bounds the resources that a group may use.
type Limits struct {
	// Size is the number of samples.
	Size int
	// MaxHedges is how many hedges the group may start.
	MaxHedges int
	// MaxBrokenServers is how many servers may break streams before the group
	// is given up.
	MaxBrokenServers int
	// MaxEmptyStreams is how many streams of one sample in a row may end
	// without a token before the group is given up.
	MaxEmptyStreams int
	// FirstTokenTimeout is the timeout for a stream's first token. ChunkTimeout
	// is the timeout from one chunk to the next.
	FirstTokenTimeout, ChunkTimeout time.Duration
	// StragglerRatio is the fraction of the median rate below which a stream is
	// hedged, from 0 to 1.
	StragglerRatio float64
	// Backoff is the delay before a stream that follows one without a token. It
	// doubles with each such stream in a row, up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// StalenessBound determines which tokens may still become part of a sample.
type StalenessBound struct {
	// MinVersion is the oldest weight version whose tokens may be reused.
	MinVersion structs.WeightVersion
	// MaxAge is the maximum age of the oldest reused token. Zero means no limit.
	MaxAge time.Duration
}

// StreamID identifies a stream within a group.
type StreamID uint64

// StreamStart is a request to start a stream.
type StreamStart struct {
	Stream StreamID
	// SampleIndex is the index of the sample in the group.
	SampleIndex int
	// Prefix is the output to resume from, and PrefixTokens its number of tokens.
	Prefix       string
	PrefixTokens int
	// Avoid holds the servers that failed this sample.
	Avoid []structs.HostName
	// Delay is how long to wait before starting the stream.
	Delay time.Duration
}

// FinishedSample is the result of one sample of the group.
type FinishedSample struct {
	// SampleIndex is the index of the sample in the group.
	SampleIndex int
	Text        string
	Spans       []structs.VersionSpan
	// Born is a lower bound for the time at which the oldest token was generated.
	Born time.Time
}

// Effects holds the actions that a decision requires. The caller carries them out
// in the order of the fields.
type Effects struct {
	Stops    []StreamID
	Starts   []StreamStart
	Finished []FinishedSample
	// FailureCode is the reason why the group was given up, or zero.
	FailureCode result.Code
}

// Chunk is a part of an engine's response.
type Chunk struct {
	Text string
	// Tokens is the number of tokens in Text.
	Tokens int
	// Version is the weight version that generated the tokens, as reported by the
	// engine.
	Version structs.WeightVersion
	// Last is set on the last chunk of the response.
	Last bool
}

// Counts holds statistics about the streams of a group.
type Counts struct {
	// Resumed counts the streams that replaced a failed one. Restarted counts
	// those among them that dropped a stale prefix. Hedged counts the hedges.
	Resumed, Restarted, Hedged int
}
