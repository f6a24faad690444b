package engine

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

func newRequest(prompt string) outside.GenerateRequest {
	return outside.GenerateRequest{ID: "s1", Prompt: prompt, MaxTokens: 40, Seed: 7}
}

// collect runs a generation and returns its text and its error.
func collect(e *Engine, request outside.GenerateRequest) (string, error) {
	var body strings.Builder
	err := e.Generate(context.Background(), request, func(chunk outside.Chunk) error {
		body.WriteString(chunk.Text)
		return nil
	})
	return body.String(), err
}

func TestEngine_MidStreamSwapSpans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(DefaultOptions())
		e.SetFaults(Faults{StallAfter: 5})
		go func() {
			synctest.Wait()
			time.Sleep(time.Second)
			version, err := e.Order(context.Background(), outside.Order{Version: 2, Term: 1})
			must.NoError(t, err)
			must.Eq(t, 2, version)
			e.SetFaults(Faults{})
		}()
		body, err := collect(e, newRequest("claim"))
		must.NoError(t, err)
		spans, err := SpansOf(body)
		must.NoError(t, err)
		want := []structs.VersionSpan{{Version: 1, Tokens: 5}, {Version: 2, Tokens: LengthOf(newRequest("claim")) - 5}}
		must.Eq(t, want, spans)
		must.Eq(t, want, e.Records()[0].Spans)
		must.Eq(t, Whole, e.Records()[0].Ending)
	})
}

func TestEngine_ResumeAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := New(DefaultOptions()), New(DefaultOptions())
		first.SetFaults(Faults{CutAfter: 9})
		head, err := collect(first, newRequest("claim"))
		must.ErrorIs(t, err, ErrBroken)
		resumed := newRequest("claim")
		resumed.Prefix, resumed.PrefixTokens = head, 9
		tail, err := collect(second, resumed)
		must.NoError(t, err)
		spans, err := SpansOf(head + tail)
		must.NoError(t, err)
		must.Eq(t, []structs.VersionSpan{{Version: 1, Tokens: LengthOf(newRequest("claim"))}}, spans)
		must.Eq(t, Cut, first.Records()[0].Ending)
	})
}

func TestEngine_TermFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := DefaultOptions()
		options.Fenced = true
		fenced, unfenced := New(options), New(DefaultOptions())
		for _, e := range []*Engine{fenced, unfenced} {
			_, err := e.Order(context.Background(), outside.Order{Version: 3, Term: 8})
			must.NoError(t, err)
		}
		_, err := fenced.Order(context.Background(), outside.Order{Version: 2, Term: 7})
		must.ErrorIs(t, err, outside.ErrFenced)
		must.Eq(t, 3, fenced.Load().Version)
		_, err = unfenced.Order(context.Background(), outside.Order{Version: 2, Term: 7})
		must.NoError(t, err)
		must.Eq(t, 2, unfenced.Load().Version)
	})
}

func TestEngine_HalfSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(DefaultOptions())
		e.SetFaults(Faults{HalfSwap: true})
		_, err := e.Order(context.Background(), outside.Order{Version: 2, Term: 1})
		must.ErrorIs(t, err, ErrHalfSwapped)
		must.Eq(t, 1, e.Load().Version)
		bodies := make([]string, 2)
		var streams sync.WaitGroup
		for i := range bodies {
			streams.Go(func() { bodies[i], _ = collect(e, newRequest("claim")) })
		}
		streams.Wait()
		versions := map[structs.WeightVersion]bool{}
		for _, body := range bodies {
			spans, err := SpansOf(body)
			must.NoError(t, err)
			must.SliceLen(t, 1, spans)
			versions[spans[0].Version] = true
		}
		must.MapLen(t, 2, versions)
		e.SetFaults(Faults{})
		_, err = e.Order(context.Background(), outside.Order{Version: 2, Term: 1})
		must.NoError(t, err)
		time.Sleep(DefaultOptions().ReportLag)
		must.Eq(t, 2, e.Load().Version)
	})
}

func TestEngine_PriorityOrderAndReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := DefaultOptions()
		options.MaxRunning = 1
		e := New(options)
		must.Eq(t, 0, e.Load().Waiting)
		finished := make(chan structs.Class, 3)
		var streams sync.WaitGroup
		for _, class := range []structs.Class{structs.ClassInternal, structs.ClassRollout, structs.ClassDraft} {
			request := newRequest("claim")
			request.Priority = class
			streams.Go(func() {
				_, err := collect(e, request)
				must.NoError(t, err)
				finished <- class
			})
			synctest.Wait()
		}
		must.Eq(t, 0, e.Load().Waiting)
		streams.Wait()
		for _, class := range []structs.Class{structs.ClassDraft, structs.ClassRollout, structs.ClassInternal} {
			must.Eq(t, class, <-finished)
		}
	})
}

func TestPrefixCache_LRUEviction(t *testing.T) {
	cache := newPrefixCache(2)
	first, second := strings.Repeat("a", 2*BlockBytes), strings.Repeat("b", BlockBytes)
	must.Eq(t, 2*BlockBytes, cache.add(first))
	must.Eq(t, 0, cache.add(first))
	must.Eq(t, 10, cache.add(first+"0123456789"))
	must.Eq(t, BlockBytes, cache.add(second))
	must.Eq(t, 2*BlockBytes, cache.add(first))
	must.Eq(t, 2, cache.hits)
}

func TestServer_DrainingAndCrash(t *testing.T) {
	crashed := make(chan struct{})
	options := DefaultOptions()
	options.TokensPerSecond = 1000
	options.Crash = func() { close(crashed) }
	e := New(options)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	backend := httpclient.NewBackend(nil)
	ignore := func(outside.Chunk) error { return nil }

	e.SetFaults(Faults{Leaving: true})
	err := backend.Generate(t.Context(), address, newRequest("claim"), ignore)
	must.Eq(t, result.BackendRefused, result.CodeOf(err))

	zeroTokens := newRequest("claim")
	zeroTokens.MaxTokens = 0
	err = backend.Generate(t.Context(), address, zeroTokens, ignore)
	must.Eq(t, result.BackendRefused, result.CodeOf(err))
	e.SetFaults(Faults{})
	err = backend.Generate(t.Context(), address, zeroTokens, ignore)
	must.Eq(t, result.BackendBroke, result.CodeOf(err))

	e.SetFaults(Faults{StallAfter: 3, CrashMarker: "poison"})
	err = backend.Generate(t.Context(), address, newRequest("claim"), func(outside.Chunk) error {
		go func() { _ = backend.Generate(context.Background(), address, newRequest("a poison pill"), ignore) }()
		return nil
	})
	must.Eq(t, result.AnswerCut, result.CodeOf(err))
	<-crashed
	_, err = backend.FetchLoad(t.Context(), address)
	must.ErrorIs(t, err, outside.ErrUnavailable)
}
