package front

import (
	"net/http"
	"slices"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// queryDocument is the query parameter that adds the settings document to the
// status.
const queryDocument = "document"

// operatorRoutes has the operators' routes: the daemon's status, the settings
// document and its changes, and the suspension of zones.
type operatorRoutes struct {
	config   config.Daemon
	clock    clockwork.Clock
	settings contract.Settings
	operator contract.Operator
	zone     contract.Zone
	auth     authorizer
}

func (o *operatorRoutes) provision(ctx *kernel.Context) error {
	var err error
	if o.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	err = kernel.FindAll(ctx,
		kernel.Bind(&o.settings, contract.NameSettings),
		kernel.Bind(&o.operator, contract.NameSettings),
		kernel.Bind(&o.zone, contract.NameZone),
	)
	if err != nil {
		return err
	}
	o.clock = ctx.Clock()
	return o.auth.provision(ctx)
}

func (o *operatorRoutes) register(router *httprouter.Router) {
	router.GET(contract.PathStatus, o.auth.require(config.RoleOperator, o.serveStatus))
	router.POST(contract.PathDocument, o.auth.require(config.RoleOperator, o.createDocument))
	router.POST(contract.PathChanges, o.auth.require(config.RoleOperator, o.applyChange))
	router.POST(contract.PathZones, o.auth.require(config.RoleOperator, o.setZoneSuspended))
}

func (o *operatorRoutes) serveStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	view, zone := o.settings.View().Load(), o.zone.ZoneView().Load()
	status := contract.Status{
		Host:        o.config.Host,
		Place:       o.config.Place,
		Revision:    view.Revision,
		Collector:   zone.Collector,
		Term:        zone.Term,
		IsCollector: zone.IsCollector,
		Granted:     o.clock.Now().Before(view.GrantEnds),
	}
	for workspace := range view.InDoubt {
		status.InDoubt = append(status.InDoubt, string(workspace))
	}
	slices.Sort(status.InDoubt)
	for _, member := range zone.Roster {
		status.Roster = append(status.Roster, member.Host)
	}
	if r.URL.Query().Has(queryDocument) {
		status.Document = view.Document
	}
	writeOK(w, status)
}

func (o *operatorRoutes) createDocument(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var document settings.Document
	if !decode(w, r, o.config.Limits.MaxBody, &document) {
		return
	}
	if err := o.operator.CreateDocument(r.Context(), &document); err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, struct{}{})
}

func (o *operatorRoutes) applyChange(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var change settings.Change
	if !decode(w, r, o.config.Limits.MaxBody, &change) {
		return
	}
	outcome, err := o.operator.Apply(r.Context(), change)
	if err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, outcome)
}

func (o *operatorRoutes) setZoneSuspended(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var suspension contract.ZoneSuspension
	if !decode(w, r, o.config.Limits.MaxBody, &suspension) {
		return
	}
	if err := o.operator.SetZoneSuspended(r.Context(), suspension.Zone, suspension.Stopped); err != nil {
		writeError(w, err)
		return
	}
	writeOK(w, suspension)
}

func writeOK(w http.ResponseWriter, body any) {
	entry, _ := result.Lookup(result.OK)
	writeJSON(w, entry, body)
}
