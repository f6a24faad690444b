package contract

import (
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The parameters of the query of a RouteQuestion.
const (
	queryMethod     = "method"
	queryHost       = "host"
	queryPath       = "path"
	queryWorkspace  = "workspace"
	queryTimeout    = "timeout"
	queryModel      = "model"
	queryMinVersion = "min_version"
)

// maxQuestionField bounds each field of a RouteQuestion, in bytes.
const maxQuestionField = 8 << 10

// Query returns the question as the query of PathRoute.
func (q RouteQuestion) Query() url.Values {
	values := url.Values{queryMethod: {q.Method}, queryHost: {q.Host}, queryPath: {q.Path}}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set(queryWorkspace, string(q.Workspace))
	set(queryModel, string(q.Model))
	if q.Timeout > 0 {
		set(queryTimeout, q.Timeout.String())
	}
	if q.MinVersion > 0 {
		set(queryMinVersion, strconv.FormatUint(uint64(q.MinVersion), 10))
	}
	return values
}

// ParseRouteQuestion returns the question of a query. It fails if the method, the host or
// the path is missing, a field is too long or a number is malformed.
func ParseRouteQuestion(values url.Values) (RouteQuestion, error) {
	for name := range values {
		if len(values.Get(name)) > maxQuestionField {
			return RouteQuestion{}, errors.Errorf("a field is longer than %d bytes", maxQuestionField)
		}
	}
	q := RouteQuestion{
		Method: values.Get(queryMethod), Host: values.Get(queryHost), Path: values.Get(queryPath),
		Workspace: structs.WorkspaceName(values.Get(queryWorkspace)), Model: structs.ServiceName(values.Get(queryModel)),
	}
	if q.Method == "" || q.Host == "" || q.Path == "" {
		return RouteQuestion{}, errors.New("a question needs a method, a host and a path")
	}
	var err error
	if text := values.Get(queryTimeout); text != "" {
		if q.Timeout, err = time.ParseDuration(text); err != nil || q.Timeout <= 0 {
			return RouteQuestion{}, errors.Errorf("timeout %q is no positive duration", text)
		}
	}
	if text := values.Get(queryMinVersion); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return RouteQuestion{}, errors.Errorf("version %q is no number", text)
		}
		q.MinVersion = structs.WeightVersion(version)
	}
	return q, nil
}
