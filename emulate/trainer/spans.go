package trainer

import (
	"slices"
	"strconv"
	"strings"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TrueSpans parses the version spans of a text from the text itself. The
// emulated engines write each token as "t17@5 ": its index and the weight version
// that generated it. It returns false if a token is malformed, missing, repeated
// or out of order, or if there is none.
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
	position, err := strconv.Atoi(index)
	if err != nil {
		return 0, 0, false
	}
	number, err := strconv.ParseUint(version, 10, 64)
	return position, structs.WeightVersion(number), err == nil
}

// spansMatchBody reports whether the version spans of a sample match its text.
// Adjacent spans of one version count as one.
func spansMatchBody(sample structs.Sample) bool {
	truth, ok := TrueSpans(string(sample.Body))
	return ok && slices.Equal(truth, mergeSpans(sample.Spans))
}

func mergeSpans(spans []structs.VersionSpan) []structs.VersionSpan {
	var merged []structs.VersionSpan
	for _, span := range spans {
		if last := len(merged) - 1; last >= 0 && merged[last].Version == span.Version {
			merged[last].Tokens += span.Tokens
			continue
		}
		merged = append(merged, span)
	}
	return merged
}
