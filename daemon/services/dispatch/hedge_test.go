package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// fakeServices stand in for the services that dispatch uses.
type fakeServices struct {
	contract.Metrics
	contract.ServerLimits
	contract.Hosts
	contract.Retrier
	// delays holds the time that each server takes to respond.
	delays map[structs.HostName]time.Duration
	// allow decides on a hedge.
	allow  func(ctx context.Context) hedge.Refusal
	picked atomic.Int64
	// open counts the tickets that are not finished.
	open atomic.Int64
}

func (f *fakeServices) Count(string, int64)                                            {}
func (f *fakeServices) Acquire(context.Context, structs.HostName, time.Duration) error { return nil }
func (f *fakeServices) Observe(structs.HostName, float64, time.Time)                   {}
func (f *fakeServices) FinalError(err error) error                                     { return err }
func (f *fakeServices) IsLimited() bool                                                { return true }
func (f *fakeServices) Answered(contract.HedgeRequest, time.Duration)                  {}
func (f *fakeServices) IsZoneSlow(structs.ServiceName, structs.ZoneName) bool          { return false }
func (f *fakeServices) Begin(contract.HedgeRequest, time.Duration) time.Duration {
	return 10 * time.Millisecond
}
func (f *fakeServices) Allow(ctx context.Context, _ contract.HedgeRequest) hedge.Refusal {
	return f.allow(ctx)
}

func (f *fakeServices) Pick(context.Context, contract.PickRequest) (contract.Ticket, error) {
	name := structs.HostName([]string{"first", "second"}[f.picked.Add(1)-1])
	f.open.Add(1)
	return contract.Ticket{Server: structs.BackendServer{Name: name}, Finish: func(contract.TicketOutcome) { f.open.Add(-1) }}, nil
}

func (f *fakeServices) Do(ctx context.Context, exchange contract.Exchange) (*http.Response, error) {
	select {
	case <-time.After(f.delays[exchange.Server]):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Server-Stamp": {"stamp"}, "Attempt-Id": {"id"}},
		Body: io.NopCloser(strings.NewReader(string(exchange.Server))),
	}, nil
}

// fakeLinks separates the View of the links from that of the hosts.
type fakeLinks struct{ *fakeServices }

func (fakeLinks) View() *kernel.Snapshot[contract.ServerLinksView] { return nil }

// forward forwards an idempotent request and returns the response.
func (f *fakeServices) forward(t *testing.T) contract.ForwardReply {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &service{balancer: f, hosts: f, links: fakeLinks{f}, limits: f, hedging: f, metrics: f, log: logrus.NewEntry(log)}
	call := &forwardCall{service: s, retrier: f, request: contract.ForwardRequest{
		Route: &catalog.Route{Kind: catalog.KindIdempotent, MaxAttempts: 2}, ID: "id", Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(time.Minute),
	}}
	reply, err := call.run(t.Context())
	must.NoError(t, err)
	must.Eq(t, 0, f.open.Load())
	return reply
}

// TestHedge_SecondServerWins checks that a request at a server that does not respond is
// answered by the second one.
func TestHedge_SecondServerWins(t *testing.T) {
	f := &fakeServices{delays: map[structs.HostName]time.Duration{"first": time.Hour}, allow: func(context.Context) hedge.Refusal { return hedge.Allowed }}
	must.Eq(t, "second", string(f.forward(t).Body))
}

// TestHedge_AnswerDuringQuestion checks that an answer is returned while the question for a
// hedge has no reply.
func TestHedge_AnswerDuringQuestion(t *testing.T) {
	f := &fakeServices{delays: map[structs.HostName]time.Duration{"first": 50 * time.Millisecond}, allow: func(ctx context.Context) hedge.Refusal {
		<-ctx.Done()
		return hedge.RefusedByNoResponse
	}}
	must.Eq(t, "first", string(f.forward(t).Body))
}

// TestHedge_AllowedTooLate checks that the second server's ticket is released if the first
// one has answered by the time it is picked.
func TestHedge_AllowedTooLate(t *testing.T) {
	f := &fakeServices{delays: map[structs.HostName]time.Duration{"first": 50 * time.Millisecond}, allow: func(ctx context.Context) hedge.Refusal {
		<-ctx.Done()
		return hedge.Allowed
	}}
	must.Eq(t, "first", string(f.forward(t).Body))
	must.Eq(t, 2, f.picked.Load())
}
