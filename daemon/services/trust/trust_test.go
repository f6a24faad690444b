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
	made, err := authority.New(t.TempDir())
	must.NoError(t, err)
	return made
}

// issue signs a certificate that is valid until a time.
func issue(t *testing.T, by *authority.Authority, until time.Time) config.Trust {
	files, err := by.Issue(until)
	must.NoError(t, err)
	return config.Trust{Certificate: files.Certificate, Key: files.Key, Authority: by.File}
}

func loaded(t *testing.T, trust config.Trust) *service {
	s := &service{config: config.Daemon{Trust: trust}}
	must.NoError(t, s.load())
	return s
}

// handshake connects a client to a server and returns the error that either
// side saw.
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

func TestPeers_MutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	later, earlier := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	one, two := loaded(t, issue(t, ours, later)), loaded(t, issue(t, ours, later.Add(time.Second)))
	must.NoError(t, handshake(t, one.PeerServerTLS(), two.PeerClientTLS()))

	stranger := loaded(t, issue(t, theirs, later))
	stranger.authority = one.authority
	must.Error(t, handshake(t, one.PeerServerTLS(), stranger.PeerClientTLS()))

	expired := loaded(t, issue(t, ours, earlier))
	must.Error(t, handshake(t, one.PeerServerTLS(), expired.PeerClientTLS()))

	missing := one.PeerClientTLS()
	missing.Certificates = nil
	must.Error(t, handshake(t, one.PeerServerTLS(), missing))
	must.NoError(t, handshake(t, one.CallerServerTLS(), missing))
}

func TestValidate_LoopbackOnlyWithoutCertificates(t *testing.T) {
	s := &service{config: config.Daemon{Listen: config.Listen{Callers: "127.0.0.1:1", Peers: "[::1]:2"}}}
	must.NoError(t, s.Validate())
	s.config.Listen.Peers = "192.0.2.1:2"
	must.Eq(t, result.TLSInvalid, result.CodeOf(s.Validate()))
}

func TestAllow_Tokens(t *testing.T) {
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
