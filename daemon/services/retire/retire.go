// Package retire is the service "control.retire": it answers the operator's
// orders to empty a storage host. Such a host holds nothing that must last, so
// it is empty at once.
package retire

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameRetire, func() kernel.Service { return &service{} })
}

// retryEvery is the pause before a failed answer is written again.
const retryEvery = 500 * time.Millisecond

// pace hears of an order at once.
var pace = contract.WatchOptions{PollTimeout: 15 * time.Second}

type service struct {
	kernel.Base
	host    string
	ledger  contract.TransactionalStore
	log     *logrus.Entry
	workers *kernel.Workers
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.host, s.log, s.workers = string(daemon.Host), ctx.Log(), ctx.Workers()
	if s.ledger, err = kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore); err != nil {
		return err
	}
	s.ledger.WatchPrefix(platform.RetirePrefix, pace, s.take)
	return nil
}

// take answers orders on the control goroutine.
func (s *service) take(news contract.PrefixChanges) {
	for _, record := range news.Records {
		if !record.Removed && strings.TrimPrefix(record.Key, platform.RetirePrefix) == s.host {
			s.log.WithField("revision", record.Revision).Info("This host is to be emptied; it holds nothing that must last.")
			s.workers.Go(s.answer)
		}
	}
}

func (s *service) answer(ctx context.Context) {
	write := outside.Write{Key: platform.RetireStatusPrefix + s.host, Value: platform.EncodeRetireStatus(true)}
	for ctx.Err() == nil {
		_, err := s.ledger.Commit(ctx, outside.Transaction{Writes: []outside.Write{write}})
		if err == nil || errors.Is(err, outside.ErrConflict) {
			return
		}
		s.log.WithError(err).Warn("The answer could not be written.")
		select {
		case <-time.After(retryEvery):
		case <-ctx.Done():
		}
	}
}
