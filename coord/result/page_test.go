package result

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite the page of result codes")

const pageHeader = `# Result codes

Every refusal and failure has a number, a name, one of three outcomes and a
sentence. "answered" means that the whole answer was given. "not run" means
that no byte of the request left for a backend server; the same request may be
sent again. "unknown outcome" means that the request may have run; a submission
is sent again with the same Idempotency-Key, a change with the same change id.

Codes from 1000 are successes, from 2000 refusals because of the request, from
3000 refusals because of the system's state, from 4000 unknown outcomes, from
5000 those of changes of the settings, from 6000 those of a process.

Over HTTP the code stands in the header Flamingobeam-Code, the outcome in
Flamingobeam-Outcome, and a refusal's body is JSON with the fields code, name,
outcome and message.

| code | name | outcome | HTTP status | sentence |
|---|---|---|---|---|
`

func renderPage() string {
	var text strings.Builder
	text.WriteString(pageHeader)
	for _, e := range Table() {
		fmt.Fprintf(&text, "| %d | %s | %s | %d | %s |\n", e.Code, e.Name, e.Outcome, e.Status, e.Description)
	}
	return text.String()
}

// TestPage_MatchesTable checks that docs/RESULT-CODES.md matches the table.
// "go test ./coord/result -update" rewrites the page.
func TestPage_MatchesTable(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "RESULT-CODES.md")
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(renderPage()), 0o644))
	}
	stored, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, renderPage(), string(stored))
}
