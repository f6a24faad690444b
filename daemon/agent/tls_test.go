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

// secured are daemons of one zone that talk over TLS.
type secured struct {
	authority *authority.Authority
	kernels   []*kernel.Kernel
	callers   []string
}

func newAuthority(t *testing.T) *authority.Authority {
	made, err := authority.New(t.TempDir())
	must.NoError(t, err)
	return made
}

func issue(t *testing.T, by *authority.Authority) authority.Files {
	files, err := by.Issue(time.Now().Add(time.Hour))
	must.NoError(t, err)
	return files
}

// startSecured starts daemons whose certificates come from one authority.
func startSecured(t *testing.T, count int) *secured {
	place := structs.Place{Zone: "ashanti-a", Region: "ashanti"}
	zone := &secured{authority: newAuthority(t)}
	fleet := store.NewFleet(0)
	platform := httptest.NewServer(store.Handler(store.New(store.DefaultLimits(), 1), fleet))
	t.Cleanup(platform.Close)
	hash := sha256.Sum256([]byte(operatorToken))
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range count {
		files := issue(t, zone.authority)
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

// operator returns a client that trusts the zone's authority.
func (z *secured) operator(t *testing.T, certificates ...authority.Files) *http.Client {
	pem, err := os.ReadFile(z.authority.File)
	must.NoError(t, err)
	trust := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	must.True(t, trust.RootCAs.AppendCertsFromPEM(pem))
	for _, files := range certificates {
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		must.NoError(t, err)
		// The client shows it whatever authorities the server names.
		trust.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil }
	}
	transport := &http.Transport{TLSClientConfig: trust}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// send posts a message to a daemon as an operator and returns the status.
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

// awaitRevision waits until every daemon serves by a revision under a grant.
func (z *secured) awaitRevision(t *testing.T, revision settings.Revision) {
	for _, k := range z.kernels {
		known, err := kernel.FindLoaded[contract.Settings](k, contract.NameSettings)
		must.NoError(t, err)
		await(known.View(), func(v *contract.SettingsView) bool { return v.Revision >= revision && time.Now().Before(v.GrantEnds) })
	}
}

// TestTLS_ChangeOverThreeDaemons forms a zone over mutual TLS: a change by an
// operator with certificate and token comes into force on all daemons, and one
// without a token, with a wrong one, without a certificate, with a stranger's or
// without TLS is refused by each of them.
func TestTLS_ChangeOverThreeDaemons(t *testing.T) {
	zone := startSecured(t, 3)
	document := &settings.Document{
		Zones:      []structs.Place{{Zone: "ashanti-a", Region: "ashanti"}},
		Templates:  []settings.Template{{Name: "plain"}},
		Workspaces: []settings.Workspace{{Name: "audit", Template: "plain"}},
	}
	files := issue(t, zone.authority)
	operator := zone.operator(t, files)
	status, err := send(t, operator, zone.callers[0], contract.PathDocument, operatorToken, document)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	zone.awaitRevision(t, 1)

	share := 2.0
	change := settings.Change{ID: "1", Edits: []settings.Edit{
		{Kind: settings.SetWorkspace, Workspace: "audit", Set: settings.Parameters{Share: &share}},
	}}
	uncertified := zone.operator(t)
	stranger := zone.operator(t, issue(t, newAuthority(t)))
	for _, address := range zone.callers {
		for _, token := range []string{"", "another"} {
			status, err = send(t, operator, address, contract.PathChanges, token, change)
			must.NoError(t, err)
			must.Eq(t, http.StatusUnauthorized, status)
		}
		status, err = send(t, uncertified, address, contract.PathChanges, operatorToken, change)
		must.NoError(t, err)
		must.Eq(t, http.StatusUnauthorized, status)
		_, err = send(t, stranger, address, contract.PathChanges, operatorToken, change)
		must.Error(t, err)
		status, err = plainly(t, address, change)
		must.True(t, err != nil || status == http.StatusBadRequest)
	}

	status, err = send(t, operator, zone.callers[1], contract.PathChanges, operatorToken, change)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)
	zone.awaitRevision(t, 2)
}

// plainly posts a change without TLS.
func plainly(t *testing.T, address string, change settings.Change) (int, error) {
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
