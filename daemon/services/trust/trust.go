// Package trust is the service "platform.trust": certificates and tokens from
// the daemon's settings file.
package trust

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameTrust, func() kernel.Service { return &service{} })
}

type service struct {
	kernel.Base
	config      config.Daemon
	certificate *tls.Certificate
	authority   *x509.CertPool
}

var _ contract.Trust = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	var err error
	if s.config, err = kernel.ConfigOf[config.Daemon](ctx); err != nil {
		return err
	}
	if s.config.Trust.Certificate == "" {
		return nil
	}
	return s.load()
}

func (s *service) load() error {
	files := s.config.Trust
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return result.Wrap(result.TLSInvalid, err)
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return result.Wrap(result.TLSInvalid, err)
	}
	s.certificate, s.authority = &certificate, x509.NewCertPool()
	if !s.authority.AppendCertsFromPEM(authority) {
		return result.New(result.TLSInvalid, "%s holds no certificate", files.Authority)
	}
	return nil
}

// Validate implements kernel.Service: without certificates a daemon listens
// on loopback only, unless the platform keeps its network to itself.
func (s *service) Validate() error {
	if s.certificate != nil || s.config.Platform.ClosedNetwork {
		return nil
	}
	for _, address := range []string{s.config.Listen.Callers, s.config.Listen.Peers} {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return result.Wrap(result.AddressBad, err)
		}
		if !parsed.Addr().IsLoopback() {
			return result.New(result.TLSInvalid, "%s is not a loopback address and no certificate is set", address)
		}
	}
	return nil
}

// PeerServerTLS implements contract.Trust.
func (s *service) PeerServerTLS() *tls.Config { return s.server(tls.RequireAndVerifyClientCert) }

// CallerServerTLS implements contract.Trust.
func (s *service) CallerServerTLS() *tls.Config { return s.server(tls.VerifyClientCertIfGiven) }

func (s *service) server(clients tls.ClientAuthType) *tls.Config {
	if s.certificate == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*s.certificate},
		ClientCAs:    s.authority,
		ClientAuth:   clients,
	}
}

// PeerClientTLS implements contract.Trust.
func (s *service) PeerClientTLS() *tls.Config {
	if s.certificate == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*s.certificate},
		RootCAs:      s.authority,
	}
}

// Authorize implements contract.Trust.
func (s *service) Authorize(role config.Role, token string, now time.Time) error {
	guarded := false
	hash := sha256.Sum256([]byte(token))
	shown := hex.EncodeToString(hash[:])
	for _, known := range s.config.Trust.Tokens {
		if known.Role != role {
			continue
		}
		guarded = true
		same := subtle.ConstantTimeCompare([]byte(strings.ToLower(known.SHA256)), []byte(shown)) == 1
		if same && (known.Expires.IsZero() || now.Before(known.Expires)) {
			return nil
		}
	}
	if guarded {
		return result.New(result.Unauthorized, "the role %s needs a token", role)
	}
	return nil
}
