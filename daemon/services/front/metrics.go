package front

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// metricsRoutes has the routes of the daemon's metrics and burn report.
type metricsRoutes struct {
	reader   contract.MetricsReader
	settings contract.Settings
	auth     authorizer
}

func (m *metricsRoutes) provision(ctx *kernel.Context) error {
	err := kernel.FindAll(ctx,
		kernel.Bind(&m.reader, contract.NameMetrics),
		kernel.Bind(&m.settings, contract.NameSettings),
	)
	if err != nil {
		return err
	}
	return m.auth.provision(ctx)
}

func (m *metricsRoutes) register(router *httprouter.Router) {
	router.GET(contract.PathMetrics, m.serveMetrics)
	router.GET(contract.PathBurn, m.auth.require(config.RoleOperator, m.serveBurnReport))
}

func (m *metricsRoutes) serveMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeOK(w, m.reader.All())
}

func (m *metricsRoutes) serveBurnReport(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	resolved := m.settings.View().Load().Resolved
	writeOK(w, m.reader.Burn(func(workspace structs.WorkspaceName) (float64, bool) {
		parameters, ok := resolved[workspace]
		return parameters.Objective, ok
	}))
}
