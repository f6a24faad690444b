package journal

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// State is what is known of a submission.
type State string

// The states of a submission.
const (
	// StateIntent means that the owner may send it.
	StateIntent State = "intent"
	// StateAnswered means that a backend server answered.
	StateAnswered State = "answered"
	// StateNotRun means that no byte left, so that the key may be used again.
	StateNotRun State = "not-run"
	// StateUnknown means that it was sent and no whole answer came.
	StateUnknown State = "unknown"
	// StateTakenOver means that a new owner found an intent without an
	// outcome.
	StateTakenOver State = "taken-over"
)

// MaxAnswerBodyBytes is the largest body of an answer that is recorded, in bytes.
const MaxAnswerBodyBytes = 2 << 10

// Answer is the recorded answer of a backend server.
type Answer struct {
	// Status is an HTTP status.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Length is the length of the whole body, in bytes.
	Length int `json:"length"`
	// Digest is the SHA-256 sum of a body that was too large to be kept.
	Digest string `json:"digest,omitempty"`
}

// HasBody reports whether the answer has its body.
func (a *Answer) HasBody() bool { return a.Digest == "" }

// NewAnswer returns the record of an answer, without a body that is over
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

// Record is the newest state of one submission.
type Record struct {
	Key         Key         `json:"key"`
	State       State       `json:"state"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// IntentTime is the wall-clock time of the intent, and ExpiresAt the time after which
	// the record may be pruned.
	IntentTime time.Time `json:"at"`
	ExpiresAt  time.Time `json:"until"`
	// Writer and Operation name the write of this state.
	Writer    structs.Incarnation `json:"writer"`
	Operation uint64              `json:"operation"`
	Answer    *Answer             `json:"answer,omitempty"`
}

// recordOverhead is the size of an encoded record without its texts, in bytes,
// rounded up.
const recordOverhead = 400

// size estimates the bytes that a record takes in a value; it is not less than
// what JSON with base64 takes.
func (r *Record) size() int {
	size := recordOverhead + textSize(r.Key.Name) + textSize(string(r.Key.Workspace)) + textSize(string(r.Writer.Host))
	if r.Answer != nil {
		size += textSize(r.Answer.ContentType) + len(r.Answer.Body)*4/3 + len(r.Answer.Digest)
	}
	return size
}

// escapedLength is the longest that a byte of text grows to in JSON, in bytes.
const escapedLength = 6

// textSize bounds the bytes that a text takes in JSON.
func textSize(text string) int {
	size := len(text)
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			size += escapedLength - 1
		}
	}
	return size
}

// SegmentRef points to a segment.
type SegmentRef struct {
	Number uint64 `json:"number"`
	// Term is the one of the owner that wrote it.
	Term  structs.Term `json:"term"`
	Count int          `json:"count"`
	// Bytes is the estimated size.
	Bytes int `json:"bytes"`
	// ExpiresAt is when the last of its records may be pruned.
	ExpiresAt time.Time `json:"until"`
}

// Segment is an immutable run of records.
type Segment struct {
	Ref     SegmentRef `json:"ref"`
	Records []Record   `json:"records"`
}

// Head is the value that is changed by compare-and-swap.
type Head struct {
	// Owner is empty once a bucket was handed back.
	Owner   structs.Incarnation `json:"owner"`
	Address string              `json:"address,omitempty"`
	Term    structs.Term        `json:"term"`
	// Sequence counts the batches of the bucket; it never starts again.
	Sequence uint64 `json:"sequence"`
	// Writer and Operation name the write that made this head.
	Writer      structs.Incarnation `json:"writer"`
	Operation   uint64              `json:"operation"`
	Recent      []Record            `json:"recent,omitempty"`
	Segments    []SegmentRef        `json:"segments,omitempty"`
	NextSegment uint64              `json:"next_segment"`
	// PruneHorizons holds, for each workspace, the newest time that a pruned
	// UUIDv7 key bore. A key that is not newer is too old.
	PruneHorizons map[structs.WorkspaceName]time.Time `json:"horizons,omitempty"`
}

// Owned reports whether the bucket has an owner.
func (h *Head) Owned() bool { return h.Owner.Host != "" }
