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

// queryDocument asks for the whole document with the status.
const queryDocument = "document"

// operators stands before the settings and the daemon's standing.
type operators struct {
	config   config.Daemon
	clock    clockwork.Clock
	settings contract.Settings
	operator contract.Operator
	zone     contract.Zone
	guard    guard
}

func (o *operators) provision(ctx *kernel.Context) error {
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
	return o.guard.provision(ctx)
}

func (o *operators) routes(router *httprouter.Router) {
	router.GET(contract.PathStatus, o.guard.only(config.RoleOperator, o.status))
	router.POST(contract.PathDocument, o.guard.only(config.RoleOperator, o.create))
	router.POST(contract.PathChanges, o.guard.only(config.RoleOperator, o.apply))
	router.POST(contract.PathZones, o.guard.only(config.RoleOperator, o.suspend))
}

func (o *operators) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	view, standing := o.settings.View().Load(), o.zone.ZoneView().Load()
	status := contract.Status{
		Host:        o.config.Host,
		Place:       o.config.Place,
		Revision:    view.Revision,
		Collector:   standing.Collector,
		Term:        standing.Term,
		IsCollector: standing.IsCollector,
		Granted:     o.clock.Now().Before(view.GrantEnds),
	}
	for workspace := range view.InDoubt {
		status.InDoubt = append(status.InDoubt, string(workspace))
	}
	slices.Sort(status.InDoubt)
	for _, member := range standing.Roster {
		status.Roster = append(status.Roster, member.Host)
	}
	if r.URL.Query().Has(queryDocument) {
		status.Document = view.Document
	}
	writeOK(w, status)
}

func (o *operators) create(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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

func (o *operators) apply(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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

func (o *operators) suspend(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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
