package main

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func TestRoute_TextAndExitStatus(t *testing.T) {
	explanation := contract.RouteExplanation{
		Host: "entry-1", ConfigurationVersion: 7, Route: "status", Workspace: "north", Service: "judge",
		Targets:   []contract.RouteTarget{{Service: "judge", Share: 1}},
		Admission: &contract.AdmissionStatus{Running: 8, Places: 8, Queue: 3, WaitSeconds: 0.5, Due: 0.5},
		Chosen:    "plain-1",
		Candidates: []contract.CandidateAssessment{
			{Server: "plain-1", Zone: "volta-a", Judged: map[string]float64{"chance": 0.75}},
			{Server: "plain-2", Zone: "volta-a", PassedOver: "at its limit of requests in flight"},
		},
		Hedge: &contract.HedgeForecast{AfterSeconds: 0.045, Limit: 0.05, Refusal: "service-limit", AsksPool: true},
		Notes: []string{"a note"},
	}
	arguments := []string{"route", "--host", "claims.example", "--workspace", "north", "/status/1"}
	text, err := runAgainst(t, contract.PathRoute, explanation, arguments...)
	must.NoError(t, err)
	for _, part := range []string{
		"place 3, about 0.50 s", "due 50%", "judge, 100%", "first          plain-1", "chance 0.75", "plain-2 in volta-a: at its limit",
		"after 45 ms, if the pool of a region allows it (service-limit here); limit 5.0%", "a note",
	} {
		must.StrContains(t, text, part)
	}
	source, err := runAgainst(t, contract.PathRoute, explanation, append([]string{"route", "--output", "json"}, arguments[1:]...)...)
	must.NoError(t, err)
	var decoded contract.RouteExplanation
	must.NoError(t, json.Unmarshal([]byte(source), &decoded))
	must.Eq(t, explanation, decoded)

	explanation.Refusal = &contract.RefusalForecast{Code: int(result.Overloaded), Name: "overloaded", Status: 429, RetryAfterSeconds: 1.5}
	text, err = runAgainst(t, contract.PathRoute, explanation, arguments...)
	must.StrContains(t, text, "3001 overloaded, HTTP 429, Retry-After 1.50 s")
	must.ErrorContains(t, err, "would be refused")
	must.Eq(t, exitWouldBeRefused, exitStatus(err))
	_, err = runAgainst(t, contract.PathRoute, explanation, "route", "--host", "claims.example")
	must.Eq(t, exitRefused, exitStatus(err))
}
