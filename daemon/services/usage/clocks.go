package usage

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/usage"
)

// clockNote is what the holder knows of the clock of a daemon.
type clockNote struct {
	// err is how far it is ahead.
	err time.Duration
	// isSettled is set once err has been decided on for the windows that are being gathered.
	isSettled bool
}

// applyGathered takes the counts of daemons. If the holder's own clock turns out to be
// wrong, the windows are cut anew. Daemons whose clocks are wrong are asked again.
func (s *service) applyGathered(step usage.Step, gathered gatherResult) {
	entry := s.log.WithFields(logrus.Fields{"from": step.From, "to": step.To})
	if offset := usage.Median(gathered.offsets); usage.IsWrong(offset) {
		s.clockError -= offset
		clear(s.clocks)
		entry.WithFields(logrus.Fields{"offset_ms": offset.Milliseconds(), "error_ms": s.clockError.Milliseconds()}).Warn("The clock of this host differs from those of most daemons; the windows of usage follow them.")
		s.book.Regather()
		return
	}
	for name, reading := range gathered.suspects {
		s.clocks[name] = clockNote{err: reading.Error(), isSettled: true}
		entry.WithFields(logrus.Fields{"daemon": name, "error_ms": reading.Error().Milliseconds(), "uncertainty_ms": reading.Uncertainty.Milliseconds()}).Info("The clock of a daemon seems to differ from those of most.")
	}
	isComplete := len(gathered.answered) >= len(gathered.asked)
	s.book.Gathered(gathered.counts, gathered.answered, isComplete, s.trueNow())
	if !isComplete {
		s.metrics.Count("usage.daemons_missing", int64(len(gathered.asked)-len(gathered.answered)))
		entry.WithFields(logrus.Fields{"asked": len(gathered.asked), "answered": len(gathered.answered)}).Info("Some daemons have not given their usage.")
	}
}

// unsettleClocks lets the clocks be judged anew for the next windows, and forgets those of
// daemons that are gone and those that are right.
func (s *service) unsettleClocks() {
	live := s.session.View().Load().Live
	for name, note := range s.clocks {
		if _, isLive := live[name]; !isLive || note.err == 0 {
			delete(s.clocks, name)
			continue
		}
		s.clocks[name] = clockNote{err: note.err}
	}
}
