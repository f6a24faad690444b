// Package result defines the numbered result codes and the errors that carry
// them. The outcome of a code is one of: answered, certainly not run, or possibly
// run.
package result

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Outcome is what is known about the execution of a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the complete response was delivered.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request was sent to a backend server.
	NotRun Outcome = "not run"
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun Outcome = "unknown outcome"
)

// Code is a result code.
type Code int

// Codes from 1000 are successes, from 2000 rejections caused by the request,
// from 3000 rejections caused by the state of the system, from 4000 unknown
// outcomes, from 5000 results of settings changes, and from 6000 results of a
// process, such as a failed start. 3010 is retired.
const (
	OK       Code = 1000
	Repeated Code = 1001
	// AnswerNotKept is a success: the request ran once, but its response is not
	// stored.
	AnswerNotKept Code = 1002

	BadRequest           Code = 2000
	UnknownWorkspace     Code = 2001
	UnknownService       Code = 2002
	MissingKey           Code = 2003
	BodyTooLarge         Code = 2004
	KeyTooOld            Code = 2005
	KeyReused            Code = 2006
	Unauthorized         Code = 2007
	NotFound             Code = 2008
	BadClass             Code = 2009
	StepTooFarAhead      Code = 2010
	StepForgotten        Code = 2011
	MethodNotAllowed     Code = 2012
	WeightVersionUnknown Code = 2013

	NoBackend         Code = 3000
	Overloaded        Code = 3001
	DueTimePassed     Code = 3002
	SettingsInDoubt   Code = 3003
	NoGrant           Code = 3004
	JournalUnreached  Code = 3005
	Quarantined       Code = 3006
	Stopping          Code = 3007
	StepNotReady      Code = 3008
	StoreUnavailable  Code = 3009
	RetryBudgetSpent  Code = 3011
	PeerUnreachable   Code = 3012
	FairShareExceeded Code = 3013
	// BackendBusy is for a backend server whose statement that it has not run the
	// request can be trusted.
	BackendBusy Code = 3014
	// StreamNotResumable is for a stream of which the software version is unknown or has
	// no server.
	StreamNotResumable Code = 3015
	// NotHolder is for a call of a singleton duty that was not sent.
	NotHolder Code = 3016

	OutcomeUnknown  Code = 4000
	AnswerCut       Code = 4001
	StillRunning    Code = 4002
	BackendBroke    Code = 4003
	SealUnknown     Code = 4004
	JournalTakeover Code = 4005
	// GroupUnfinished differs from DueTimePassed in its outcome: engines may have
	// worked for the request.
	GroupUnfinished Code = 4006
	// BackendRefused has an unknown outcome because the server has read the
	// request, and only the server itself claims that it did no work for it.
	BackendRefused Code = 4007
	// BackendOverloaded differs from BackendRefused: the server is at its limit,
	// but not draining.
	BackendOverloaded Code = 4008

	ChangeConflict  Code = 5000
	ChangeInvalid   Code = 5001
	ChangeWithdrawn Code = 5002
	ChangeUnknown   Code = 5003
	ChangePending   Code = 5004
	// WorkspaceFlawed is logged for a workspace in the operator's configuration.
	WorkspaceFlawed Code = 5005

	SettingsMalformed Code = 6000
	SettingsInvalid   Code = 6001
	SettingsUnread    Code = 6002
	AddressTaken      Code = 6003
	AddressBad        Code = 6004
	TLSInvalid        Code = 6005
	CommandFailed     Code = 6006
	PromiseBroken     Code = 6007
)

// Entry describes a result code.
type Entry struct {
	Code    Code
	Name    string
	Outcome Outcome
	// Status is the HTTP status of a response with the code.
	Status int
	// Description is a sentence for callers.
	Description string
}

// table holds the entries in ascending order of their codes.
var table = []Entry{
	{OK, "ok", Answered, 200, "The answer is whole."},
	{Repeated, "repeated", Answered, 200, "The recorded answer of the first request with this key is given again."},
	{AnswerNotKept, "answer-not-kept", Answered, 410, "The first request with this key was answered; the answer was too large to be kept."},
	{BadRequest, "bad-request", NotRun, 400, "The request is malformed."},
	{UnknownWorkspace, "unknown-workspace", NotRun, 404, "There is no workspace of this name."},
	{UnknownService, "unknown-service", NotRun, 404, "There is no service of this name."},
	{MissingKey, "missing-key", NotRun, 400, "A submission needs an Idempotency-Key."},
	{BodyTooLarge, "body-too-large", NotRun, 413, "The body is larger than the limit."},
	{KeyTooOld, "key-too-old", NotRun, 409, "The Idempotency-Key is older than the window in which keys are kept."},
	{KeyReused, "key-reused", NotRun, 422, "The Idempotency-Key was used for another request."},
	{Unauthorized, "unauthorized", NotRun, 401, "The token is missing, wrong or expired."},
	{NotFound, "not-found", NotRun, 404, "There is nothing at this path."},
	{BadClass, "bad-class", NotRun, 400, "There is no class of this name."},
	{StepTooFarAhead, "step-too-far-ahead", NotRun, 409, "An earlier step has not been asked for."},
	{StepForgotten, "step-forgotten", NotRun, 410, "The step is no longer kept."},
	{MethodNotAllowed, "method-not-allowed", NotRun, 405, "The path does not take this method."},
	{WeightVersionUnknown, "weight-version-unknown", NotRun, 409, "No weights of this version have been published."},
	{NoBackend, "no-backend", NotRun, 503, "No backend server can take the request."},
	{Overloaded, "overloaded", NotRun, 429, "The system is at its limit; try again later."},
	{DueTimePassed, "due-time-passed", NotRun, 504, "The request could not be answered by its due time."},
	{SettingsInDoubt, "settings-in-doubt", NotRun, 503, "A change of the settings that the request needs is being decided."},
	{NoGrant, "no-grant", NotRun, 503, "This daemon does not know whether its settings are the newest."},
	{JournalUnreached, "journal-unreached", NotRun, 503, "The journal of submissions cannot be reached."},
	{Quarantined, "quarantined", NotRun, 422, "Requests like this one crashed backend servers."},
	{Stopping, "stopping", NotRun, 503, "This daemon is shutting down."},
	{StepNotReady, "step-not-ready", NotRun, 425, "The step does not have enough samples yet."},
	{StoreUnavailable, "store-unavailable", NotRun, 503, "The platform's key-value service does not answer."},
	{RetryBudgetSpent, "retry-budget-spent", NotRun, 503, "The request failed and the retry budget is spent."},
	{PeerUnreachable, "peer-unreachable", NotRun, 503, "The daemon that must handle the request cannot be reached."},
	{FairShareExceeded, "fair-share-exceeded", NotRun, 429, "The workspace has used its share; try again later."},
	{BackendBusy, "backend-busy", NotRun, 503, "The backend server is full and has not run the request."},
	{StreamNotResumable, "stream-not-resumable", NotRun, 503, "No server can continue the stream; ask for it from its beginning."},
	{NotHolder, "not-holder", NotRun, 503, "This daemon does not hold the duty."},
	{OutcomeUnknown, "outcome-unknown", MayHaveRun, 502, "The request may have run; it will not run again."},
	{AnswerCut, "answer-cut", MayHaveRun, 502, "The answer broke off before its end."},
	{StillRunning, "still-running", MayHaveRun, 409, "The first request with this key is still running."},
	{BackendBroke, "backend-broke", MayHaveRun, 502, "The backend server failed while it ran the request."},
	{SealUnknown, "seal-unknown", MayHaveRun, 503, "The step may have been sealed; ask for it again."},
	{JournalTakeover, "journal-takeover", MayHaveRun, 502, "The request was begun by a daemon that has since been replaced."},
	{GroupUnfinished, "group-unfinished", MayHaveRun, 504, "Engines began on the samples or the Draft and did not finish; nothing was delivered."},
	{BackendRefused, "backend-refused", MayHaveRun, 503, "The backend server read the request and answered that it takes no new work."},
	{BackendOverloaded, "backend-overloaded", MayHaveRun, 503, "The backend server read the request and answered that it is at its limit."},
	{ChangeConflict, "change-conflict", NotRun, 409, "Another change was made first."},
	{ChangeInvalid, "change-invalid", NotRun, 422, "The change would make the settings invalid."},
	{ChangeWithdrawn, "change-withdrawn", NotRun, 409, "The change was withdrawn because an availability zone did not acknowledge it."},
	{ChangeUnknown, "change-unknown", MayHaveRun, 503, "The change may have been accepted; apply it again with the same change id."},
	{ChangePending, "change-pending", MayHaveRun, 202, "The change is being decided."},
	{WorkspaceFlawed, "workspace-flawed", NotRun, 422, "The configuration of a workspace or its keys cannot be used; the last usable one stays in force."},
	{SettingsMalformed, "settings-malformed", NotRun, 400, "The settings file is not well-formed."},
	{SettingsInvalid, "settings-invalid", NotRun, 400, "A value in the settings file is not allowed."},
	{SettingsUnread, "settings-unread", NotRun, 400, "The settings file cannot be read."},
	{AddressTaken, "address-taken", NotRun, 409, "The address is already in use."},
	{AddressBad, "address-bad", NotRun, 400, "The address is not an IP number and port of this host."},
	{TLSInvalid, "tls-invalid", NotRun, 400, "A certificate or key cannot be used."},
	{CommandFailed, "command-failed", NotRun, 500, "The command failed."},
	{PromiseBroken, "promise-broken", NotRun, 500, "A run broke a promise of the service."},
}

// Table returns the entries of all codes in ascending order.
func Table() []Entry { return slices.Clone(table) }

// IsBackendRefusal reports whether a code means that a backend server read the
// request and rejected it.
func IsBackendRefusal(code Code) bool { return code == BackendRefused || code == BackendOverloaded }

// Lookup returns the entry of a code and reports whether the code exists.
func Lookup(code Code) (Entry, bool) {
	index, found := slices.BinarySearchFunc(table, code, func(e Entry, c Code) int { return int(e.Code - c) })
	if !found {
		return Entry{}, false
	}
	return table[index], true
}

// Error is an error with a result code.
type Error struct {
	Code Code
	// Detail supplements the description of the code and may be empty.
	Detail string
	// RetryAfter is the time to wait before a retry, or zero.
	RetryAfter time.Duration
	cause      error
}

// New returns an error with a code and a detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a code and a cause, whose text becomes the detail.
func Wrap(code Code, cause error) *Error {
	return &Error{Code: code, Detail: cause.Error(), cause: cause}
}

// Entry returns the entry of the error's code.
func (e *Error) Entry() Entry {
	entry, _ := Lookup(e.Code)
	return entry
}

// Error returns the number, name and description of the code, and the detail.
func (e *Error) Error() string {
	entry := e.Entry()
	if e.Detail == "" {
		return fmt.Sprintf("%d %s: %s", e.Code, entry.Name, entry.Description)
	}
	return fmt.Sprintf("%d %s: %s (%s)", e.Code, entry.Name, entry.Description, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// CodeOf returns the code of an error: OK for nil, and OutcomeUnknown for an
// error without a code, since the request may have run.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var resultErr *Error
	if errors.As(err, &resultErr) {
		return resultErr.Code
	}
	return OutcomeUnknown
}

// RetryAfterOf returns the time to wait before a retry, and zero if the error has none.
func RetryAfterOf(err error) time.Duration {
	var resultErr *Error
	if errors.As(err, &resultErr) {
		return resultErr.RetryAfter
	}
	return 0
}

// OutcomeOf returns the outcome of an error's code, and MayHaveRun for an
// unknown code.
func OutcomeOf(err error) Outcome {
	entry, ok := Lookup(CodeOf(err))
	if !ok {
		return MayHaveRun
	}
	return entry.Outcome
}
