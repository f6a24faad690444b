package trust

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/emulate/authority"
)

func newAuthority(t *testing.T) *authority.Authority {
	created, err := authority.New(t.TempDir())
	must.NoError(t, err)
	return created
}

// issueCertificate issues a certificate that expires at a time.
func issueCertificate(t *testing.T, issuer *authority.Authority, until time.Time) config.Trust {
	files, err := issuer.Issue(until)
	must.NoError(t, err)
	return config.Trust{Certificate: files.Certificate, Key: files.Key, Authority: issuer.File}
}

// newService returns a service that has loaded its certificates.
func newService(t *testing.T, trust config.Trust) *service {
	s := &service{config: config.Daemon{Trust: trust}}
	must.NoError(t, s.loadCertificates())
	return s
}

// handshake connects a client to a server and returns the error of either side.
func handshake(t *testing.T, server, client *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	must.NoError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "hello")
		served <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.ReadAll(conn); err != nil {
		return err
	}
	return <-served
}

func TestTLS_MutualAuthentication(t *testing.T) {
	authorityA, authorityB := newAuthority(t), newAuthority(t)
	valid, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	serverSide, clientSide := newService(t, issueCertificate(t, authorityA, valid)), newService(t, issueCertificate(t, authorityA, valid.Add(time.Second)))
	must.NoError(t, handshake(t, serverSide.PeerServerTLS(), clientSide.PeerClientTLS()))

	untrusted := newService(t, issueCertificate(t, authorityB, valid))
	untrusted.authorities = serverSide.authorities
	must.Error(t, handshake(t, serverSide.PeerServerTLS(), untrusted.PeerClientTLS()))

	expired := newService(t, issueCertificate(t, authorityA, past))
	must.Error(t, handshake(t, serverSide.PeerServerTLS(), expired.PeerClientTLS()))

	withoutCertificate := serverSide.PeerClientTLS()
	withoutCertificate.Certificates = nil
	must.Error(t, handshake(t, serverSide.PeerServerTLS(), withoutCertificate))
	must.NoError(t, handshake(t, serverSide.CallerServerTLS(), withoutCertificate))
}

func TestValidate_RequiresCertificateOffLoopback(t *testing.T) {
	s := &service{config: config.Daemon{Listen: config.Listen{Callers: "127.0.0.1:1", Peers: "[::1]:2"}}}
	must.NoError(t, s.Validate())
	s.config.Listen.Peers = "192.0.2.1:2"
	must.Eq(t, result.TLSInvalid, result.CodeOf(s.Validate()))
}

func TestAuthorize_Tokens(t *testing.T) {
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	now := time.Now()
	s := &service{config: config.Daemon{Trust: config.Trust{Tokens: []config.Token{
		{Role: config.RoleOperator, SHA256: hash("right")},
		{Role: config.RoleOperator, SHA256: hash("old"), Expires: now.Add(-time.Second)},
	}}}}
	must.NoError(t, s.Authorize(config.RoleOperator, "right", now))
	for _, token := range []string{"", "wrong", "old"} {
		must.Eq(t, result.Unauthorized, result.CodeOf(s.Authorize(config.RoleOperator, token, now)))
	}
	must.NoError(t, s.Authorize(config.RoleTrainer, "", now))
}
