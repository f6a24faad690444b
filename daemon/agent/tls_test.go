package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/authority"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const operatorToken = "operator's token"

// tlsZone holds daemons of one zone that use mutual TLS.
type tlsZone struct {
	authority *authority.Authority
	kernels   []*kernel.Kernel
	callers   []string
}

func newAuthority(t *testing.T) *authority.Authority {
	created, err := authority.New(t.TempDir())
	must.NoError(t, err)
	return created
}

func issueCertificate(t *testing.T, issuer *authority.Authority) authority.Files {
	files, err := issuer.Issue(time.Now().Add(time.Hour))
	must.NoError(t, err)
	return files
}

// startTLSZone starts daemons whose certificates one authority issued.
func startTLSZone(t *testing.T, count int) *tlsZone {
	place := structs.Place{Zone: "ashanti-a", Region: "ashanti"}
	zone := &tlsZone{authority: newAuthority(t)}
	fleet := store.NewFleet(0)
	platform := httptest.NewServer(store.Handler(store.New(store.DefaultLimits(), 1), fleet))
	t.Cleanup(platform.Close)
	hash := sha256.Sum256([]byte(operatorToken))
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range count {
		files := issueCertificate(t, zone.authority)
		daemon := config.Default()
		daemon.Host, daemon.Place = structs.HostName(fmt.Sprintf("ashanti-%d", i+1)), place
		daemon.Listen = config.Listen{Callers: freeAddress(t), Peers: freeAddress(t)}
		daemon.Store = platform.Listener.Addr().String()
		daemon.Limits.UnreadyFor = settings.Duration(time.Millisecond)
		daemon.Trust = config.Trust{
			Certificate: files.Certificate, Key: files.Key, Authority: zone.authority.File,
			Tokens: []config.Token{{Role: config.RoleOperator, SHA256: hex.EncodeToString(hash[:])}},
		}
		fleet.Set(structs.BackendServer{
			Name: daemon.Host, Place: place, Kind: structs.KindDaemon, Service: "flamingobeam", Address: daemon.Listen.Peers,
		})
		k := New(daemon, log)
		must.NoError(t, k.Start(t.Context()))
		t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
		zone.kernels, zone.callers = append(zone.kernels, k), append(zone.callers, daemon.Listen.Callers)
	}
	return zone
}

// operatorClient returns a client that trusts the zone's authority.
func (z *tlsZone) operatorClient(t *testing.T, certificates ...authority.Files) *http.Client {
	pem, err := os.ReadFile(z.authority.File)
	must.NoError(t, err)
	trust := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	must.True(t, trust.RootCAs.AppendCertsFromPEM(pem))
	for _, files := range certificates {
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		must.NoError(t, err)
		// The client presents it regardless of the authorities that the server accepts.
		trust.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil }
	}
	transport := &http.Transport{TLSClientConfig: trust}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// send posts a message to a daemon as an operator and returns the HTTP status.
func send(t *testing.T, client *http.Client, address, path, token string, message any) (int, error) {
	body, err := json.Marshal(message)
	must.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+address+path, bytes.NewReader(body))
	must.NoError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// awaitRevision waits until every daemon has applied a revision and holds a grant.
func (z *tlsZone) awaitRevision(t *testing.T, revision settings.Revision) {
	for _, k := range z.kernels {
		settingsService, err := kernel.FindLoaded[contract.Settings](k, contract.NameSettings)
		must.NoError(t, err)
		awaitSnapshot(settingsService.View(), func(v *contract.SettingsView) bool { return v.Revision >= revision && time.Now().Before(v.GrantEnds) })
	}
}

// TestTLS_ChangeRequiresCertificateAndToken checks that a change with a certificate and
// a token takes effect on all three daemons of a zone. Each of them must refuse a change
// with no token or a wrong one, with no certificate or one of another authority, and
// without TLS.
func TestTLS_ChangeRequiresCertificateAndToken(t *testing.T) {
	zone := startTLSZone(t, 3)
	document := &settings.Document{
		Zones:      []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}},
		Templates:  []settings.Template{{Name: "plain"}},
		Workspaces: []settings.Workspace{{Name: "audit", Template: "plain"}},
	}
	files := issueCertificate(t, zone.authority)
	operator := zone.operatorClient(t, files)
	status, err := send(t, operator, zone.callers[0], contract.PathDocument, operatorToken, document)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	zone.awaitRevision(t, 1)

	share := 2.0
	change := settings.Change{ID: "1", Edits: []settings.Edit{
		{Kind: settings.SetWorkspace, Workspace: "audit", Set: settings.Parameters{Share: &share}},
	}}
	withoutCertificate := zone.operatorClient(t)
	otherAuthority := zone.operatorClient(t, issueCertificate(t, newAuthority(t)))
	for _, address := range zone.callers {
		for _, token := range []string{"", "another"} {
			status, err = send(t, operator, address, contract.PathChanges, token, change)
			must.NoError(t, err)
			must.Eq(t, http.StatusUnauthorized, status)
		}
		status, err = send(t, withoutCertificate, address, contract.PathChanges, operatorToken, change)
		must.NoError(t, err)
		must.Eq(t, http.StatusUnauthorized, status)
		_, err = send(t, otherAuthority, address, contract.PathChanges, operatorToken, change)
		must.Error(t, err)
		status, err = sendWithoutTLS(t, address, change)
		must.True(t, err != nil || status == http.StatusBadRequest)
	}

	status, err = send(t, operator, zone.callers[1], contract.PathChanges, operatorToken, change)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	zone.awaitRevision(t, 2)
}

// sendWithoutTLS posts a change over plain HTTP.
func sendWithoutTLS(t *testing.T, address string, change settings.Change) (int, error) {
	body, err := json.Marshal(change)
	must.NoError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+contract.PathChanges, bytes.NewReader(body))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
