package store

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/outside/httpclient"
)

// Paths by which tests and experiments control and inspect the emulator.
const (
	PathFaults  = "/emulate/faults"
	PathCounts  = "/emulate/counts"
	PathSet     = "/emulate/hosts/set"
	PathRemove  = "/emulate/hosts/remove"
	PathPublish = "/emulate/weights/publish"
)

// Published is a request to publish a weight version of a model.
type Published struct {
	Model   structs.ServiceName   `json:"model"`
	Version structs.WeightVersion `json:"version"`
}

// Handler serves a store, a fleet and their controls over HTTP.
func Handler(s *Store, f *Fleet) http.Handler {
	router := httprouter.New()
	storeRoutes(router, s)
	leaseRoutes(router, s)
	fleetRoutes(router, f)
	controlRoutes(router, s, f)
	return router
}

func storeRoutes(router *httprouter.Router, s *Store) {
	serve(router, httpclient.PathGet, func(ctx context.Context, r httpclient.KeyRequest) (outside.Entry, error) {
		return s.Get(ctx, r.Key)
	})
	serve(router, httpclient.PathList, func(ctx context.Context, r httpclient.KeyRequest) (httpclient.ListReply, error) {
		entries, err := s.List(ctx, r.Key)
		return httpclient.ListReply{Entries: entries}, err
	})
	serve(router, httpclient.PathCompareAndSwap, func(ctx context.Context, r httpclient.ConditionalWriteRequest) (httpclient.ConditionalWriteReply, error) {
		revision, err := s.CompareAndSwap(ctx, r.Key, r.Expected, r.Value, r.Lease)
		return httpclient.ConditionalWriteReply{Revision: revision}, err
	})
	serve(router, httpclient.PathDelete, func(ctx context.Context, r httpclient.ConditionalWriteRequest) (struct{}, error) {
		return struct{}{}, s.Delete(ctx, r.Key, r.Expected)
	})
	serve(router, httpclient.PathWatch, func(ctx context.Context, r httpclient.WatchRequest) (outside.Changes, error) {
		return s.Watch(ctx, r.Prefix, r.After, r.Wait)
	})
}

func leaseRoutes(router *httprouter.Router, s *Store) {
	serve(router, httpclient.PathGrant, func(ctx context.Context, r httpclient.LeaseRequest) (httpclient.LeaseReply, error) {
		id, err := s.Grant(ctx, r.TTL)
		return httpclient.LeaseReply{Lease: id}, err
	})
	serve(router, httpclient.PathKeepAlive, func(ctx context.Context, r httpclient.LeaseRequest) (struct{}, error) {
		return struct{}{}, s.KeepAlive(ctx, r.Lease)
	})
	serve(router, httpclient.PathRevoke, func(ctx context.Context, r httpclient.LeaseRequest) (struct{}, error) {
		return struct{}{}, s.Revoke(ctx, r.Lease)
	})
}

func fleetRoutes(router *httprouter.Router, f *Fleet) {
	serve(router, httpclient.PathHosts, func(ctx context.Context, r httpclient.HostsRequest) (outside.HostSnapshot, error) {
		return f.Hosts(ctx, r.Zone, r.After, r.Wait)
	})
	serve(router, httpclient.PathWeights, func(ctx context.Context, r httpclient.WeightsRequest) (httpclient.WeightsReply, error) {
		version, err := f.Newest(ctx, r.Model, r.After, r.Wait)
		return httpclient.WeightsReply{Version: version}, err
	})
}

func controlRoutes(router *httprouter.Router, s *Store, f *Fleet) {
	serve(router, PathFaults, func(_ context.Context, faults Faults) (struct{}, error) {
		s.SetFaults(faults)
		return struct{}{}, nil
	})
	serve(router, PathCounts, func(context.Context, struct{}) (Counts, error) { return s.Counts(), nil })
	serve(router, PathSet, func(_ context.Context, server structs.BackendServer) (struct{}, error) {
		f.Set(server)
		return struct{}{}, nil
	})
	serve(router, PathRemove, func(_ context.Context, server structs.BackendServer) (struct{}, error) {
		f.Remove(server.Name)
		return struct{}{}, nil
	})
	serve(router, PathPublish, func(_ context.Context, p Published) (struct{}, error) {
		f.Publish(p.Model, p.Version)
		return struct{}{}, nil
	})
}

var errorStatus = map[error]int{
	outside.ErrNotFound:    http.StatusNotFound,
	outside.ErrConflict:    http.StatusConflict,
	outside.ErrRateLimited: http.StatusTooManyRequests,
	outside.ErrTooLarge:    http.StatusRequestEntityTooLarge,
	outside.ErrLeaseLost:   http.StatusGone,
	outside.ErrUnavailable: http.StatusServiceUnavailable,
}

// serve registers a POST route that decodes the request, calls handle and encodes
// the response, with the status of errorStatus for an error.
func serve[Q, A any](router *httprouter.Router, path string, handle func(context.Context, Q) (A, error)) {
	router.POST(path, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*outside.MaxValueBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := handle(r.Context(), request)
		if err != nil {
			http.Error(w, err.Error(), errorStatus[errors.Cause(err)])
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	})
}
