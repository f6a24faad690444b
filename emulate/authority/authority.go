// Package authority emulates the certificate authority that signs the
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
	// authorityValidity is the validity period of the authority's own certificate.
	authorityValidity = 24 * time.Hour
	fileMode          = 0o600
)

// Authority issues certificates. It is not safe for concurrent use.
type Authority struct {
	// File is the path of the PEM file with the authority's own certificate.
	File        string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	directory   string
	lastSerial  int64
}

// Files are the paths of the PEM files of a certificate and its private key.
type Files struct {
	Certificate string
	Key         string
}

// New creates an authority that writes its files to a directory.
func New(directory string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority: generate CA key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(0),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(authorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority: create CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority: parse CA certificate")
	}
	a := &Authority{certificate: certificate, key: key, directory: directory}
	a.File, err = a.writePEM("authority.pem", "CERTIFICATE", der)
	return a, err
}

// Issue signs a certificate for 127.0.0.1, for server and client
// authentication, that expires at notAfter.
func (a *Authority) Issue(notAfter time.Time) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "authority: generate key")
	}
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial),
		Subject:      pkix.Name{CommonName: fmt.Sprintf("host %d", a.lastSerial)},
		NotAfter:     notAfter,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, errors.Wrap(err, "authority: create certificate")
	}
	return a.writeKeyPair(der, key)
}

func (a *Authority) writeKeyPair(der []byte, key *ecdsa.PrivateKey) (Files, error) {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, errors.Wrap(err, "authority: encode key")
	}
	var files Files
	if files.Certificate, err = a.writePEM(fmt.Sprintf("%d.pem", a.lastSerial), "CERTIFICATE", der); err != nil {
		return Files{}, err
	}
	files.Key, err = a.writePEM(fmt.Sprintf("%d.key", a.lastSerial), "EC PRIVATE KEY", keyDER)
	return files, err
}

func (a *Authority) writePEM(name, blockType string, der []byte) (string, error) {
	path := filepath.Join(a.directory, name)
	err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), fileMode)
	return path, errors.Wrap(err, "authority: write PEM file")
}
