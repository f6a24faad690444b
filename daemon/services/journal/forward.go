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

// errOwnerUnresponsive means that an owner did not answer a probe. It may have
// received the submission.
var errOwnerUnresponsive = errors.New("journal: bucket owner does not answer")

// ownerTimeouts bound the calls to the owner of a bucket.
type ownerTimeouts struct {
	// probeInterval is the time after which an owner without a reply is probed,
	// and then probed again. probeTimeout bounds a probe.
	probeInterval, probeTimeout time.Duration
	// replyGrace is added to the deadline of a call, so that the owner's own
	// timeout error can still arrive.
	replyGrace time.Duration
}

func defaultTimeouts() ownerTimeouts {
	return ownerTimeouts{probeInterval: time.Second, probeTimeout: time.Second, replyGrace: 250 * time.Millisecond}
}

// SubmitArgs are the arguments of the method Submit in net/rpc. Field names are
// part of the messages.
type SubmitArgs struct {
	Workspace structs.WorkspaceName
	Path      string
	Key       string
	Body      []byte
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Term is the term in which the caller believes the receiver to own the
	// bucket.
	Term structs.Term
	// Again is set when an earlier call with the submission may have arrived.
	Again bool
}

// SubmitReply is the reply of the method Submit in net/rpc.
type SubmitReply struct {
	// Denied is set when the receiver does not own the bucket or cannot reach
	// the store.
	Denied bool
	// Status, ContentType and Body are the backend server's response.
	Status      int
	ContentType string
	Body        []byte
	// Repeated is set for a recorded answer.
	Repeated bool
	// Code and Detail describe an error; without one Code is result.OK.
	Code   result.Code
	Detail string
}

// PingArgs are the arguments of the method Ping in net/rpc.
type PingArgs struct{ Bucket journal.Bucket }

// PingReply is the reply of the method Ping. Term is zero when the receiver
// does not own the bucket.
type PingReply struct{ Term structs.Term }

// forward sends a submission to the owner of its bucket. After an unknown
// outcome it sends it once more, which the idempotency key makes safe. It fails
// with errOwnerChanged when the owner is gone.
func (s *service) forward(ctx context.Context, owner *bucketOwner, request *submission) (contract.SubmitReply, error) {
	for range 2 {
		var reply SubmitReply
		err := s.callOwner(ctx, owner, request, &reply)
		switch {
		case err == nil:
			return contractReply(&reply)
		case result.OutcomeOf(err) == result.NotRun:
			return contract.SubmitReply{}, errOwnerChanged
		case ctx.Err() != nil:
			return contract.SubmitReply{}, result.Wrap(result.OutcomeUnknown, err)
		}
		request.isRetry = true
		if errors.Is(err, errOwnerUnresponsive) {
			return contract.SubmitReply{}, errOwnerChanged
		}
		s.metrics.Count("journal.forwarded_again", 1)
	}
	return contract.SubmitReply{}, errOwnerChanged
}

// contractReply converts the owner's reply to the reply or error for the
// caller.
func contractReply(reply *SubmitReply) (contract.SubmitReply, error) {
	if reply.Denied {
		return contract.SubmitReply{}, errOwnerChanged
	}
	if reply.Code != result.OK {
		return contract.SubmitReply{}, &result.Error{Code: reply.Code, Detail: reply.Detail}
	}
	return contract.SubmitReply{
		Answer:   outside.ServiceResponse{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body},
		Repeated: reply.Repeated,
	}, nil
}

// callOwner sends a submission to an owner. It fails with errOwnerUnresponsive
// when the owner does not answer a probe. The call is not cancelled with its
// caller, because that would close a connection that other calls share.
func (s *service) callOwner(ctx context.Context, owner *bucketOwner, request *submission, reply *SubmitReply) error {
	deadline, _ := ctx.Deadline()
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(s.timeouts.replyGrace))
	defer cancel()
	args := &SubmitArgs{
		Workspace: request.Workspace,
		Path:      request.Path,
		Key:       request.Key,
		Body:      request.Body,
		Remaining: time.Until(deadline),
		Term:      owner.term,
		Again:     request.isRetry,
	}
	done := make(chan error, 1)
	s.forwards.Go(func() { done <- s.peers.Call(callCtx, owner.address, rpcName+".Submit", args, reply) })
	for {
		timer := s.clock.NewTimer(s.timeouts.probeInterval)
		select {
		case err := <-done:
			timer.Stop()
			return err
		case <-timer.Chan():
		}
		if err := s.probe(callCtx, owner, request.journalRequest().Key.Bucket()); err != nil {
			cancel()
			<-done
			return errOwnerUnresponsive
		}
	}
}

// probe checks that an owner still answers calls.
func (s *service) probe(ctx context.Context, owner *bucketOwner, bucket journal.Bucket) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeouts.probeTimeout)
	defer cancel()
	var reply PingReply
	return s.peers.Call(ctx, owner.address, rpcName+".Ping", &PingArgs{Bucket: bucket}, &reply)
}
