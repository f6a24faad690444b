package front

import (
	"net/http"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const (
	headerAuthorization = "Authorization"
	bearerScheme        = "Bearer "
)

// authorizer restricts handlers to callers of a role.
type authorizer struct {
	trust contract.Trust
	clock clockwork.Clock
}

func (a *authorizer) provision(ctx *kernel.Context) error {
	var err error
	a.trust, err = kernel.Find[contract.Trust](ctx, contract.NameTrust)
	a.clock = ctx.Clock()
	return err
}

// require wraps a handler that needs a role. An operator who connects over TLS must
// also present a client certificate that the certificate authority has signed.
func (a *authorizer) require(role config.Role, handle httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if role == config.RoleOperator && r.TLS != nil && len(r.TLS.VerifiedChains) == 0 {
			writeError(w, result.New(result.Unauthorized, "operators show a certificate"))
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get(headerAuthorization), bearerScheme)
		if err := a.trust.Authorize(role, token, a.clock.Now()); err != nil {
			writeError(w, err)
			return
		}
		handle(w, r, params)
	}
}
