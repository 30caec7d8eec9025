// Package chivecert creates the credentials of the system: a certificate authority,
// the certificates of processes, and the secrets of callers and operators.
package chivecert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

// Error is the class of errors of this package.
var Error = errs.Class("certificate")

const (
	// authorityValidity is how long the certificate of an authority is valid.
	authorityValidity = 10 * 365 * 24 * time.Hour
	// maxClockSkew is how long before its creation a certificate becomes valid, so
	// that a process whose clock is behind accepts it.
	maxClockSkew = time.Hour
	// keyFileMode and certFileMode are the permissions of private keys and of
	// certificates.
	keyFileMode  = 0o600
	certFileMode = 0o644
)

// Types of PEM blocks.
const (
	pemTypeCert = "CERTIFICATE"
	pemTypeKey  = "EC PRIVATE KEY"
)

// Authority is a certificate authority that signs the certificates of processes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority and writes its certificate and private key to
// ca.pem and ca-key.pem in dir. It replaces existing files.
func NewAuthority(dir string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: "chiveyoke authority"},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.Add(authorityValidity),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writeKeyPair(dir, "ca", der, key); err != nil {
		return nil, err
	}
	return &Authority{cert: template, key: key}, nil
}

// LoadAuthority reads an authority from ca.pem and ca-key.pem in dir.
func LoadAuthority(dir string) (*Authority, error) {
	certDER, err := readPEMBlock(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEMBlock(filepath.Join(dir, "ca-key.pem"))
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	return &Authority{cert: cert, key: key}, Error.Wrap(err)
}

// Issue creates a key and a certificate for a process of the role and writes them
// to NAME-key.pem and NAME.pem in dir. The certificate expires at now plus validity.
func (a *Authority) Issue(dir, name string, role chivelink.Role, now time.Time, validity time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{role.DNSName()},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Error.Wrap(err)
	}
	return writeKeyPair(dir, name, der, key)
}

// newSerialNumber returns a random number below 2^127.
func newSerialNumber() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		panic(err)
	}
	return n
}

// writeKeyPair writes NAME.pem and NAME-key.pem in dir.
func writeKeyPair(dir, name string, certDER []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: certDER})
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), certPEM, certFileMode); err != nil {
		return Error.Wrap(err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER})
	return Error.Wrap(os.WriteFile(filepath.Join(dir, name+"-key.pem"), keyPEM, keyFileMode))
}

// readPEMBlock returns the contents of the first PEM block of a file.
func readPEMBlock(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, Error.New("%s: file has no PEM block", path)
	}
	return block.Bytes, nil
}
