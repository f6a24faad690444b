package contract

import (
	"net/url"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzParseRouteQuestion checks that what is accepted keeps to its bounds and is the same
// when it is written and read again.
func FuzzParseRouteQuestion(f *testing.F) {
	question := RouteQuestion{Method: "GET", Host: "claims.example", Path: "/status/1", Workspace: "north", Timeout: time.Second, Model: "m", MinVersion: 3}
	f.Add(question.Query().Encode())
	f.Add("method=GET&host=a&path=/&timeout=-1s")
	f.Add("method=GET&host=a&path=/&min_version=x")
	f.Add("method=&host=a")
	f.Fuzz(func(t *testing.T, source string) {
		values, err := url.ParseQuery(source)
		if err != nil {
			return
		}
		parsed, err := ParseRouteQuestion(values)
		if err != nil {
			return
		}
		must.LessEq(t, maxQuestionField, len(parsed.Path))
		must.GreaterEq(t, 0, parsed.Timeout)
		again, err := ParseRouteQuestion(parsed.Query())
		must.NoError(t, err)
		must.Eq(t, parsed, again)
	})
}
