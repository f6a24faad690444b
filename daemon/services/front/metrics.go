package front

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// metrics stands before the daemon's metrics and its burn report.
type metrics struct {
	reports  contract.MetricsReader
	settings contract.Settings
	guard    guard
}

func (m *metrics) provision(ctx *kernel.Context) error {
	err := kernel.FindAll(ctx,
		kernel.Bind(&m.reports, contract.NameMetrics),
		kernel.Bind(&m.settings, contract.NameSettings),
	)
	if err != nil {
		return err
	}
	return m.guard.provision(ctx)
}

func (m *metrics) routes(router *httprouter.Router) {
	router.GET(contract.PathMetrics, m.all)
	router.GET(contract.PathBurn, m.guard.only(config.RoleOperator, m.burn))
}

func (m *metrics) all(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeOK(w, m.reports.All())
}

func (m *metrics) burn(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	resolved := m.settings.View().Load().Resolved
	writeOK(w, m.reports.Burn(func(workspace structs.WorkspaceName) (float64, bool) {
		parameters, ok := resolved[workspace]
		return parameters.Objective, ok
	}))
}
