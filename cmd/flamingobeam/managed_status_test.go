package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// runAgainst runs a command against a daemon that gives an answer, and returns its output.
func runAgainst(t *testing.T, path string, answer any, arguments ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, path, r.URL.Path)
		must.NoError(t, json.NewEncoder(w).Encode(answer))
	}))
	defer server.Close()
	out := &bytes.Buffer{}
	app := command()
	app.Writer = out
	full := []string{"flamingobeam", arguments[0], "--daemon", strings.TrimPrefix(server.URL, "http://")}
	err := app.Run(t.Context(), append(full, arguments[1:]...))
	return out.String(), err
}

func TestStatus_OfManagedDaemon(t *testing.T) {
	since := time.Unix(1_700_000_000, 0).UTC()
	managed := contract.ManagedStatus{
		Host: "entry-1", Zone: "volta-a", ConfigurationVersion: 7, Session: "entry-1.17", LiveDaemons: 3,
		Leader: contract.LeaderStatus{Host: "entry-2", FencingToken: 41, Since: since},
		Duties: &contract.DutiesStatus{Duties: []string{"usage reports"}},
		Usage:  &contract.UsageStatus{Reported: []contract.UsageWindow{{Window: 5, Requests: 12, Workspaces: 2}}, Unreported: []int64{6}},
		Fleets: []contract.FleetStatus{{Service: "engines", Needed: 4, Floor: 3, Orders: []string{"volta-a plain 2 (the steps need more servers)"}}},
		Queues: []contract.QueueStatus{{Service: "judge", Kind: contract.QueueRequests, QueueReport: limit.QueueReport{
			Running: 8, Places: 8, Waiting: 30, Classes: []limit.Waiting{{Name: "lookup", Waiting: 30}},
			Workspaces: []limit.Waiting{{Name: "north", Waiting: 20, Asked: 9, Due: 0.5}}, Others: &limit.Waiting{Waiting: 10}, OtherCount: 4,
		}}},
		Refusals: map[string]int64{"overloaded": 3},
	}
	answer := contract.Status{Host: "entry-1", Managed: &managed}
	text, err := runAgainst(t, contract.PathStatus, answer, "status")
	must.NoError(t, err)
	for _, part := range []string{
		"version 7", "no lease, 3 live", "entry-2, fencing token 41, since 2023-11-14T22:13:20Z", "holder         nobody\n", "window 5: 12 requests",
		"window 6: decided", "needs 4 servers (at least 3)", "the steps need more servers", "30 waiting", "workspace north: 20 waiting",
		"due 50%", "4 other workspaces: 10 waiting", "overloaded: 3",
	} {
		must.StrContains(t, text, part)
	}
	source, err := runAgainst(t, contract.PathStatus, answer, "status", "--output", "json")
	must.NoError(t, err)
	var decoded contract.ManagedStatus
	must.NoError(t, json.Unmarshal([]byte(source), &decoded))
	must.Eq(t, managed, decoded)
}
