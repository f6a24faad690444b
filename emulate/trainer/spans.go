package trainer

import (
	"slices"
	"strconv"
	"strings"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TrueSpans reads the weight versions that made a text from the text itself.
// The engine stand-ins write each token as "t17@5 ": its index and the version
// that made it. It reports false for a text that is not whole: a token that is
// malformed, missing, repeated or out of order.
func TrueSpans(text string) ([]structs.VersionSpan, bool) {
	var spans []structs.VersionSpan
	for i, token := range strings.Fields(text) {
		index, version, ok := parseToken(token)
		if !ok || index != i {
			return nil, false
		}
		if last := len(spans) - 1; last >= 0 && spans[last].Version == version {
			spans[last].Tokens++
			continue
		}
		spans = append(spans, structs.VersionSpan{Version: version, Tokens: 1})
	}
	return spans, len(spans) > 0
}

func parseToken(token string) (int, structs.WeightVersion, bool) {
	index, version, ok := strings.Cut(strings.TrimPrefix(token, "t"), "@")
	if !ok || !strings.HasPrefix(token, "t") {
		return 0, 0, false
	}
	number, err := strconv.Atoi(index)
	if err != nil {
		return 0, 0, false
	}
	made, err := strconv.ParseUint(version, 10, 64)
	return number, structs.WeightVersion(made), err == nil
}

// attributed reports whether a sample names the versions that truly made it.
// Neighbouring spans of one version count as one.
func attributed(sample structs.Sample) bool {
	truth, ok := TrueSpans(string(sample.Body))
	return ok && slices.Equal(truth, merged(sample.Spans))
}

func merged(spans []structs.VersionSpan) []structs.VersionSpan {
	var out []structs.VersionSpan
	for _, span := range spans {
		if last := len(out) - 1; last >= 0 && out[last].Version == span.Version {
			out[last].Tokens += span.Tokens
			continue
		}
		out = append(out, span)
	}
	return out
}
