package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

// errSilent means that an owner showed no sign of life. The submission may have
// arrived there.
var errSilent = errors.New("journal: the owner of the bucket shows no sign of life")

// spans are the times that a daemon gives the owner of a bucket.
type spans struct {
	// probeAfter is how long an owner may be silent before it is asked for a
	// sign of life, and probeWithin how long it has for that.
	probeAfter, probeWithin time.Duration
	// grace is the time beyond the due time in which the owner's own refusal
	// may still arrive.
	grace time.Duration
}

func defaultSpans() spans {
	return spans{probeAfter: time.Second, probeWithin: time.Second, grace: 250 * time.Millisecond}
}

// SubmitArgs are the arguments of Journal.Submit.
type SubmitArgs struct {
	Workspace structs.WorkspaceName
	Path      string
	Key       string
	Body      []byte
	// Remaining is the time left until the due time.
	Remaining time.Duration
	// Term is the one in which the daemon asked is thought to own the bucket.
	Term structs.Term
	// Again is set when the submission may have arrived before.
	Again bool
}

// SubmitReply is the reply of Journal.Submit.
type SubmitReply struct {
	// Denied is set when the daemon asked does not own the bucket.
	Denied      bool
	Status      int
	ContentType string
	Body        []byte
	Repeated    bool
	// Code and Detail are those of an error; Code is result.OK without one.
	Code   result.Code
	Detail string
}

// PingArgs are the arguments of Journal.Ping.
type PingArgs struct{ Bucket journal.Bucket }

// PingReply is the reply of Journal.Ping.
type PingReply struct{ Term structs.Term }

// forward sends a submission to the owner of its bucket. After an unknown
// outcome of the call it sends it once again, which the key makes safe. It
// fails with errLost when the owner is gone.
func (s *service) forward(ctx context.Context, owner *place, request *submission) (contract.SubmitReply, error) {
	for range 2 {
		var reply SubmitReply
		err := s.call(ctx, owner, request, &reply)
		switch {
		case err == nil:
			return replyOf(&reply)
		case result.OutcomeOf(err) == result.NotRun:
			return contract.SubmitReply{}, errLost
		case ctx.Err() != nil:
			return contract.SubmitReply{}, result.Wrap(result.OutcomeUnknown, err)
		}
		request.again = true
		if errors.Is(err, errSilent) {
			return contract.SubmitReply{}, errLost
		}
		s.metrics.Count("journal.forwarded_again", 1)
	}
	return contract.SubmitReply{}, errLost
}

// replyOf turns the reply of an owner into what its caller gets.
func replyOf(reply *SubmitReply) (contract.SubmitReply, error) {
	if reply.Denied {
		return contract.SubmitReply{}, errLost
	}
	if reply.Code != result.OK {
		return contract.SubmitReply{}, &result.Error{Code: reply.Code, Detail: reply.Detail}
	}
	return contract.SubmitReply{
		Answer:   outside.ServiceResponse{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body},
		Repeated: reply.Repeated,
	}, nil
}

// call makes one call and gives it up with errSilent when the owner shows no
// sign of life.
// The call does not end with its caller, because that would break the
// connection for the calls of others.
func (s *service) call(ctx context.Context, owner *place, request *submission, reply *SubmitReply) error {
	due, _ := ctx.Deadline()
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), due.Add(s.spans.grace))
	defer cancel()
	args := &SubmitArgs{
		Workspace: request.Workspace,
		Path:      request.Path,
		Key:       request.Key,
		Body:      request.Body,
		Remaining: time.Until(due),
		Term:      owner.term,
		Again:     request.again,
	}
	done := make(chan error, 1)
	s.forwards.Go(func() { done <- s.peers.Call(callCtx, owner.address, rpcName+".Submit", args, reply) })
	for {
		timer := s.clock.NewTimer(s.spans.probeAfter)
		select {
		case err := <-done:
			timer.Stop()
			return err
		case <-timer.Chan():
		}
		if err := s.probe(callCtx, owner, request.journal().Key.Bucket()); err != nil {
			cancel()
			<-done
			return errSilent
		}
	}
}

// probe asks an owner for a sign of life.
func (s *service) probe(ctx context.Context, owner *place, bucket journal.Bucket) error {
	ctx, cancel := context.WithTimeout(ctx, s.spans.probeWithin)
	defer cancel()
	var reply PingReply
	return s.peers.Call(ctx, owner.address, rpcName+".Ping", &PingArgs{Bucket: bucket}, &reply)
}
