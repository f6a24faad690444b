package trust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/config"
)

// issuer signs certificates for a test.
type issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
}

func newIssuer(t *testing.T) *issuer {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	is := &issuer{certificate: certificate, key: key, folder: t.TempDir()}
	is.write(t, "authority.pem", "CERTIFICATE", der)
	return is
}

func (is *issuer) write(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(is.folder, name)
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue signs a certificate for 127.0.0.1 that is valid until a time.
func (is *issuer) issue(t *testing.T, until time.Time) config.Trust {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "daemon"},
		NotAfter:     until,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, is.certificate, &key.PublicKey, is.key)
	must.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	name := until.Format("150405.000000000")
	return config.Trust{
		Certificate: is.write(t, name+".pem", "CERTIFICATE", der),
		Key:         is.write(t, name+".key", "EC PRIVATE KEY", private),
		Authority:   filepath.Join(is.folder, "authority.pem"),
	}
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
	ours, theirs := newIssuer(t), newIssuer(t)
	later, earlier := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	one, two := loaded(t, ours.issue(t, later)), loaded(t, ours.issue(t, later.Add(time.Second)))
	must.NoError(t, handshake(t, one.PeerServer(), two.PeerClient()))

	stranger := loaded(t, theirs.issue(t, later))
	stranger.authority = one.authority
	must.Error(t, handshake(t, one.PeerServer(), stranger.PeerClient()))

	expired := loaded(t, ours.issue(t, earlier))
	must.Error(t, handshake(t, one.PeerServer(), expired.PeerClient()))

	missing := one.PeerClient()
	missing.Certificates = nil
	must.Error(t, handshake(t, one.PeerServer(), missing))
	must.NoError(t, handshake(t, one.CallerServer(), missing))
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
	must.NoError(t, s.Allow(config.RoleOperator, "right", now))
	for _, token := range []string{"", "wrong", "old"} {
		must.Eq(t, result.Unauthorized, result.CodeOf(s.Allow(config.RoleOperator, token, now)))
	}
	must.NoError(t, s.Allow(config.RoleTrainer, "", now))
}
