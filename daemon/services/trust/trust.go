// Package trust implements the service "platform.trust", which authenticates daemons and
// callers by the certificates and tokens of the daemon's settings file.
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
	authorities *x509.CertPool
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
	return s.loadCertificates()
}

func (s *service) loadCertificates() error {
	files := s.config.Trust
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return result.Wrap(result.TLSInvalid, err)
	}
	authorityPEM, err := os.ReadFile(files.Authority)
	if err != nil {
		return result.Wrap(result.TLSInvalid, err)
	}
	s.certificate, s.authorities = &certificate, x509.NewCertPool()
	if !s.authorities.AppendCertsFromPEM(authorityPEM) {
		return result.New(result.TLSInvalid, "%s holds no certificate", files.Authority)
	}
	return nil
}

// Validate implements kernel.Service. Without certificates a daemon may listen on loopback
// addresses only, unless the platform's network is closed.
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
func (s *service) PeerServerTLS() *tls.Config { return s.serverTLS(tls.RequireAndVerifyClientCert) }

// CallerServerTLS implements contract.Trust.
func (s *service) CallerServerTLS() *tls.Config { return s.serverTLS(tls.VerifyClientCertIfGiven) }

func (s *service) serverTLS(clientAuth tls.ClientAuthType) *tls.Config {
	if s.certificate == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*s.certificate},
		ClientCAs:    s.authorities,
		ClientAuth:   clientAuth,
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
		RootCAs:      s.authorities,
	}
}

// Authorize implements contract.Trust. A role for which no token is configured is open to
// every caller.
func (s *service) Authorize(role config.Role, token string, now time.Time) error {
	isRestricted := false
	hash := sha256.Sum256([]byte(token))
	tokenHash := hex.EncodeToString(hash[:])
	for _, accepted := range s.config.Trust.Tokens {
		if accepted.Role != role {
			continue
		}
		isRestricted = true
		matches := subtle.ConstantTimeCompare([]byte(strings.ToLower(accepted.SHA256)), []byte(tokenHash)) == 1
		if matches && (accepted.Expires.IsZero() || now.Before(accepted.Expires)) {
			return nil
		}
	}
	if isRestricted {
		return result.New(result.Unauthorized, "the role %s needs a token", role)
	}
	return nil
}
