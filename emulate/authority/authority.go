// Package authority is a stand-in of the certificate authority that signs the
// certificates of daemons and operators.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// validFor is how long the authority's own certificate is valid.
	validFor = 24 * time.Hour
	fileMode = 0o600
)

// Authority signs certificates. It is not safe for concurrent use.
type Authority struct {
	// File is the PEM file of the authority's own certificate.
	File        string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
	issued      int64
}

// Files are the PEM files of a certificate.
type Files struct {
	Certificate string
	Key         string
}

// New makes an authority that keeps its files in a folder.
func New(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(0),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(validFor),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	a := &Authority{certificate: certificate, key: key, folder: folder}
	a.File, err = a.write("authority.pem", "CERTIFICATE", der)
	return a, err
}

// Issue signs a certificate for 127.0.0.1, of a server and a client, that is
// valid until a time.
func (a *Authority) Issue(until time.Time) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "authority")
	}
	a.issued++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.issued),
		Subject:      pkix.Name{CommonName: fmt.Sprintf("host %d", a.issued)},
		NotAfter:     until,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, errors.Wrap(err, "authority")
	}
	return a.writePair(der, key)
}

func (a *Authority) writePair(der []byte, key *ecdsa.PrivateKey) (Files, error) {
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, errors.Wrap(err, "authority")
	}
	var files Files
	if files.Certificate, err = a.write(fmt.Sprintf("%d.pem", a.issued), "CERTIFICATE", der); err != nil {
		return Files{}, err
	}
	files.Key, err = a.write(fmt.Sprintf("%d.key", a.issued), "EC PRIVATE KEY", private)
	return files, err
}

func (a *Authority) write(name, kind string, der []byte) (string, error) {
	path := filepath.Join(a.folder, name)
	err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), fileMode)
	return path, errors.Wrap(err, "authority")
}
