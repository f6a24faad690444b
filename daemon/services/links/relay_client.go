package links

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

// Headers of requests and responses between daemons.
const (
	// headerServer and headerAddress name the backend server, and headerTarget the path
	// and query of the request to it, byte for byte.
	headerServer  = "Flamingobeam-Relay-Server"
	headerAddress = "Flamingobeam-Relay-Address"
	headerTarget  = "Flamingobeam-Relay-Target"
	// headerRepeatable is set if the server may get the request a second time. Without
	// it the helper sends the request once; earlier releases do not set it.
	headerRepeatable = "Flamingobeam-Relay-Repeatable"
	// headerRefusal is set in a response of the helper itself.
	headerRefusal = "Flamingobeam-Relay-Refusal"
)

// refusal is why a helper has no response of the server.
type refusal string

// The refusals. After all but refusalBroken the request was certainly not sent.
const (
	refusalCutOff      refusal = "cut off"
	refusalBusy        refusal = "busy"
	refusalStopping    refusal = "stopping"
	refusalUnknown     refusal = "unknown server"
	refusalUnreachable refusal = "unreachable"
	refusalBroken      refusal = "broken"
)

const (
	// maxHelpers bounds the daemons that are tried for one request.
	maxHelpers = 4
	// helperAvoidance is how long others are preferred to a helper that passed no
	// request on.
	helperAvoidance = 3 * time.Second
	// helperDialTimeout bounds a connection to a helper, or of a helper to a server.
	helperDialTimeout = 400 * time.Millisecond
	helperIdleTimeout = 30 * time.Second
	maxIdlePerHelper  = 16
)

var (
	errNoHelper      = errors.New("links: no other daemon reaches the server")
	errUnreachable   = errors.New("links: the server is unreachable from another daemon too")
	errHelperRefused = errors.New("links: the other daemon did not pass the request on")
	errBroken        = errors.New("links: the server's response to another daemon broke off")
)

// relay sends a request through other daemons until one has sent it. If one of them may
// have sent a repeatable request, a failure of the others does not hide that.
func (s *service) relay(ctx context.Context, request contract.Exchange) (*http.Response, error) {
	started := time.Now()
	outgoing, err := request.Build(ctx)
	if err != nil {
		return nil, err
	}
	var mayBeSentErr error
	onlyOnce := !request.Repeatable && transport.MayReplay(outgoing)
	for _, helper := range s.helpers(onlyOnce) {
		response, isFinal, err := s.relayThrough(ctx, helper, request)
		if isFinal {
			s.metrics.Time("links.relayed", time.Since(started))
			return response, err
		}
		s.log.WithError(err).WithFields(logrus.Fields{"helper": helper.Name, "server": request.Server}).Info("A daemon does not pass a request on.")
		s.avoidHelper(helper)
		if !transport.IsDialFailure(err) && !errors.Is(err, errHelperRefused) {
			mayBeSentErr = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	s.metrics.Count("links.no_helper", 1)
	if mayBeSentErr != nil {
		return nil, mayBeSentErr
	}
	return nil, dialError(errNoHelper)
}

// relayThrough sends a request through one helper. The result is final unless another
// helper may be tried.
func (s *service) relayThrough(ctx context.Context, helper membership.Member, request contract.Exchange) (*http.Response, bool, error) {
	outgoing, err := request.Build(ctx)
	if err != nil {
		return nil, true, err
	}
	outgoing.Header.Set(headerServer, string(request.Server))
	outgoing.Header.Set(headerAddress, request.Address)
	outgoing.Header.Set(headerTarget, outgoing.URL.RequestURI())
	// Only daemons may set the header, not callers.
	outgoing.Header.Del(headerRepeatable)
	if request.Repeatable && helper.RelaysOnce {
		// An earlier release would pass the header on to the server.
		outgoing.Header.Set(headerRepeatable, "1")
	}
	outgoing.URL = &url.URL{Scheme: "http", Host: helper.RelayAddress, Path: "/"}
	roundTripper := s.relayTransport
	if !request.Repeatable && transport.MayReplay(outgoing) {
		roundTripper = s.singleUseRelayTransport
	}
	response, err := roundTripper.RoundTrip(outgoing)
	if err != nil {
		return nil, !transport.IsDialFailure(err) && !request.Repeatable, err
	}
	switch why := refusal(response.Header.Get(headerRefusal)); why {
	case "":
		return response, true, nil
	case refusalUnreachable, refusalUnknown:
		transport.Discard(response)
		return nil, true, dialError(errUnreachable)
	case refusalBroken:
		transport.Discard(response)
		return nil, true, errBroken
	default:
		transport.Discard(response)
		return nil, false, errors.Wrap(errHelperRefused, string(why))
	}
}

// helpers returns the daemons that may pass a request on, near ones first, and those that
// are avoided or stopping last. If onlyOnce is set, it leaves out those that might send it
// twice.
func (s *service) helpers(onlyOnce bool) []membership.Member {
	view := s.session.View().Load()
	now := time.Now()
	type candidate struct {
		membership.Member
		isAvoided bool
		distance  int
		salt      uint64
	}
	var candidates []candidate
	s.mu.Lock()
	for name, member := range view.Live {
		if name == view.Self.Name || member.RelayAddress == "" || onlyOnce && !member.RelaysOnce {
			continue
		}
		candidates = append(candidates, candidate{
			Member: member, isAvoided: member.IsStopping || now.Before(s.avoidedHelpers[member.RelayAddress]), distance: s.distanceTo(member), salt: rand.Uint64(),
		})
	}
	s.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.isAvoided != b.isAvoided {
			if a.isAvoided {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.salt, b.salt))
	})
	helpers := make([]membership.Member, 0, maxHelpers)
	for _, c := range candidates[:min(maxHelpers, len(candidates))] {
		helpers = append(helpers, c.Member)
	}
	return helpers
}

// distanceTo orders daemons by the price and the time of a round trip.
func (s *service) distanceTo(member membership.Member) int {
	switch {
	case member.Zone == s.config.Place.Zone:
		return 0
	case s.config.Platform.Regions[member.Zone] == s.config.Place.Region:
		return 1
	}
	return 2
}

func (s *service) avoidHelper(helper membership.Member) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, until := range s.avoidedHelpers {
		if now.After(until) {
			delete(s.avoidedHelpers, address)
		}
	}
	s.avoidedHelpers[helper.RelayAddress] = now.Add(helperAvoidance)
}
