// Package logs sets up logging: one line per event, with the name of the service that
// logged it.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/kernel"
)

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to out. The format is "text" or "json". It fails
// when the level is unknown.
func New(out io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeLayout})
	} else {
		logger.SetFormatter(textFormatter{})
	}
	return logger, nil
}

// textFormatter formats an entry as "time level service: message key=value".
type textFormatter struct{}

// Format implements logrus.Formatter.
func (textFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	var line bytes.Buffer
	service, _ := entry.Data[kernel.ServiceLogField].(string)
	fmt.Fprintf(&line, "%s %-7s %s: %s", entry.Time.Format(timeLayout), entry.Level, service, entry.Message)
	fields := make([]string, 0, len(entry.Data))
	for name := range entry.Data {
		if name != kernel.ServiceLogField {
			fields = append(fields, name)
		}
	}
	slices.Sort(fields)
	for _, name := range fields {
		fmt.Fprintf(&line, " %s=%v", name, entry.Data[name])
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}
