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

// guard lets only callers of a role through.
type guard struct {
	trust contract.Trust
	clock clockwork.Clock
}

func (g *guard) provision(ctx *kernel.Context) error {
	var err error
	g.trust, err = kernel.Find[contract.Trust](ctx, contract.NameTrust)
	g.clock = ctx.Clock()
	return err
}

// only wraps a handler that needs a role. An operator who comes over TLS must
// also show a certificate of the authority.
func (g *guard) only(role config.Role, handle httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		if role == config.RoleOperator && r.TLS != nil && len(r.TLS.VerifiedChains) == 0 {
			writeError(w, result.New(result.Unauthorized, "operators show a certificate"))
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get(headerAuthorization), bearerScheme)
		if err := g.trust.Authorize(role, token, g.clock.Now()); err != nil {
			writeError(w, err)
			return
		}
		handle(w, r, params)
	}
}
