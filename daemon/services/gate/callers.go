package gate

import (
	"net/http"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/access"
	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/platform"
)

// routeCall is a request on a route.
type routeCall struct {
	headers platform.RequestHeaders
	route   *catalog.Route
	// catalog is the configuration by which the request is served.
	catalog *catalog.Catalog
	// workspace is nil if the request needs none.
	workspace *access.Workspace
}

// workspaceName returns the name of the workspace; empty for none.
func (c routeCall) workspaceName() structs.WorkspaceName {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// jobCall is a request on the batch job API.
type jobCall struct {
	id      string
	headers platform.RequestHeaders
	scope   access.Scope
}

// identifyCaller returns the workspace of a caller, or nil if the request needs none, and
// removes what identifies the caller from the headers. It fails with the codes of
// lookUpKey.
func (s *service) identifyCaller(header http.Header, key access.Key, route *catalog.Route, current *catalog.Catalog) (*access.Workspace, error) {
	if current.Access == nil {
		return nil, nil
	}
	platform.RemoveIdentity(header)
	if !needsKey(route, current) {
		return nil, nil
	}
	workspace, err := s.lookUpKey(key, current)
	if err != nil {
		return nil, err
	}
	return &workspace, nil
}

// needsKey reports whether requests on a route need a key.
func needsKey(route *catalog.Route, current *catalog.Catalog) bool {
	return current.Access != nil && !route.Public
}

// jobScope returns which batch jobs a caller may see. It fails with the codes of lookUpKey,
// and with code NoGrant if no configuration is known, which may name workspaces.
func (s *service) jobScope(host string, key access.Key, current *catalog.Catalog) (access.Scope, error) {
	if current == nil {
		return access.Scope{}, result.New(result.NoGrant, "no configuration is known yet")
	}
	if current.Access == nil {
		return access.Scope{All: true}, nil
	}
	workspace, err := s.lookUpKey(key, current)
	isPublic := current.HasPublicBatchRoute(host)
	if err != nil && !isPublic {
		return access.Scope{}, err
	}
	return access.Scope{Workspace: workspace.Name, Public: isPublic}, nil
}

// lookUpKey returns the workspace of a key. It fails with code Unauthorized, and with code
// NoGrant if the key may have been taken away and revocation is strict.
func (s *service) lookUpKey(key access.Key, current *catalog.Catalog) (access.Workspace, error) {
	age := s.knowledge.Staleness(platform.OperatorPrefix)
	if s.config.Platform.StrictRevocation {
		// The age is that of the newest configuration, not of one that was read before.
		if newest := s.catalog.Current().Load().Catalog; newest != nil && newest.Access != nil {
			current = newest
		}
	}
	workspace, ok := current.Access.Lookup(key)
	if !ok {
		return workspace, unknownKey(key, current)
	}
	if err := s.checkRevocation(age); err != nil {
		return access.Workspace{}, err
	}
	return workspace, nil
}

// checkRevocation fails with code NoGrant if a key may have been taken away, given the age
// of the configuration, and revocation is strict.
func (s *service) checkRevocation(age time.Duration) error {
	revocation := access.Revocation{Within: s.config.Platform.KeyRevocation, Strict: s.config.Platform.StrictRevocation}
	if !revocation.Allows(age) {
		return result.New(result.NoGrant, "the keys are %v old", age)
	}
	return nil
}

func unknownKey(key access.Key, current *catalog.Catalog) error {
	if problem := key.Problem(); problem != "" {
		return result.New(result.Unauthorized, "%s", problem)
	}
	return result.New(result.Unauthorized, "version %d has no workspace with this key", current.Version)
}
