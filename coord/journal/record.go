package journal

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// State is the known state of a submission.
type State string

// States of a submission.
const (
	// StateIntent means that the owner may send the request.
	StateIntent State = "intent"
	// StateAnswered means that a backend server answered the request.
	StateAnswered State = "answered"
	// StateNotRun means that no byte was sent, so that the key may be used
	// again.
	StateNotRun State = "not-run"
	// StateUnknown means that the request was sent and no complete answer
	// arrived.
	StateUnknown State = "unknown"
	// StateTakenOver means that a new owner found an intent without an outcome.
	StateTakenOver State = "taken-over"
)

// MaxAnswerBodyBytes is the size of the largest recorded body of an answer.
const MaxAnswerBodyBytes = 2 << 10

// Answer is the recorded answer of a backend server.
type Answer struct {
	// Status is the HTTP status code.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Length is the length of the complete body, in bytes.
	Length int `json:"length"`
	// Digest is the SHA-256 sum, in hexadecimal, of a body that is too large to
	// be recorded.
	Digest string `json:"digest,omitempty"`
}

// HasBody reports whether the body of the answer is recorded.
func (a *Answer) HasBody() bool { return a.Digest == "" }

// NewAnswer returns the record of an answer. It leaves out a body of more than
// MaxAnswerBodyBytes.
func NewAnswer(status int, contentType string, body []byte) *Answer {
	answer := &Answer{Status: status, ContentType: contentType, Length: len(body)}
	if len(body) > MaxAnswerBodyBytes {
		answer.Digest = fmt.Sprintf("%x", sha256.Sum256(body))
		return answer
	}
	answer.Body = body
	return answer
}

// Record holds the state of one submission.
type Record struct {
	Key         Key         `json:"key"`
	State       State       `json:"state"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// IntentTime is the wall-clock time of the intent, and ExpiresAt the time
	// after which the record may be pruned.
	IntentTime time.Time `json:"at"`
	ExpiresAt  time.Time `json:"until"`
	// Writer and Operation identify the write of this state.
	Writer    structs.Incarnation `json:"writer"`
	Operation uint64              `json:"operation"`
	Answer    *Answer             `json:"answer,omitempty"`
}

// recordOverheadBytes is the size of an encoded record without its strings,
// rounded up.
const recordOverheadBytes = 400

// estimatedSize returns an upper bound of the size of the encoded record, in
// bytes. It accounts for JSON escapes and base64.
func (r *Record) estimatedSize() int {
	size := recordOverheadBytes + encodedTextSize(r.Key.Name) + encodedTextSize(string(r.Key.Workspace)) + encodedTextSize(string(r.Writer.Host))
	if r.Answer != nil {
		size += encodedTextSize(r.Answer.ContentType) + len(r.Answer.Body)*4/3 + len(r.Answer.Digest)
	}
	return size
}

// maxEscapedBytes is the largest size of an escaped byte in JSON.
const maxEscapedBytes = 6

// encodedTextSize returns an upper bound of the size of a string in JSON, in
// bytes.
func encodedTextSize(text string) int {
	size := len(text)
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			size += maxEscapedBytes - 1
		}
	}
	return size
}

// SegmentRef refers to a segment.
type SegmentRef struct {
	Number uint64 `json:"number"`
	// Term is the term of the owner that wrote the segment.
	Term  structs.Term `json:"term"`
	Count int          `json:"count"`
	// Bytes is the estimated size of the encoded records.
	Bytes int `json:"bytes"`
	// ExpiresAt is the time after which all of its records may be pruned.
	ExpiresAt time.Time `json:"until"`
}

// Segment is an immutable sequence of records.
type Segment struct {
	Ref     SegmentRef `json:"ref"`
	Records []Record   `json:"records"`
}

// Head is the mutable value of a bucket, changed by compare-and-swap.
type Head struct {
	// Owner is empty after the bucket was released.
	Owner   structs.Incarnation `json:"owner"`
	Address string              `json:"address,omitempty"`
	Term    structs.Term        `json:"term"`
	// Sequence is the number of the proposal. It increases by one with each
	// proposal and is never reset.
	Sequence uint64 `json:"sequence"`
	// Writer and Operation identify the write of this head.
	Writer      structs.Incarnation `json:"writer"`
	Operation   uint64              `json:"operation"`
	Recent      []Record            `json:"recent,omitempty"`
	Segments    []SegmentRef        `json:"segments,omitempty"`
	NextSegment uint64              `json:"next_segment"`
	// PruneHorizons holds the newest timestamp of the pruned UUIDv7 keys of
	// each workspace. A key with this timestamp or an older one is too old.
	PruneHorizons map[structs.WorkspaceName]time.Time `json:"horizons,omitempty"`
}

// Owned reports whether the bucket has an owner.
func (h *Head) Owned() bool { return h.Owner.Host != "" }
