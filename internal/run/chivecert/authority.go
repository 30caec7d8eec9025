// Package chivecert implements the keys of the system: an authority, the
// certificates of processes, and the keys of callers and operators.
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
	// authorityValidity is how long an authority is valid.
	authorityValidity = 10 * 365 * 24 * time.Hour
	// maxClockSkew is how far clocks may differ when a certificate begins.
	maxClockSkew = time.Hour
	// keyFileMode and certMode are the permissions of the files.
	keyFileMode  = 0o600
	certFileMode = 0o644
)

// The types of PEM blocks.
const (
	pemTypeCert = "CERTIFICATE"
	pemTypeKey  = "EC PRIVATE KEY"
)

// An Authority signs the certificates of processes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority and writes it to ca.pem and ca-key.pem in dir.
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

// LoadAuthority reads an authority from dir.
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

// Issue makes a certificate for a process of that role and writes it to
// NAME.pem and NAME-key.pem in dir.
func (a *Authority) Issue(dir, name string, role chivelink.Role, now time.Time, life time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(life),
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

func newSerialNumber() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		panic(err)
	}
	return n
}

func writeKeyPair(dir, name string, certDER []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: certDER})
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), cert, certFileMode); err != nil {
		return Error.Wrap(err)
	}
	secret := pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER})
	return Error.Wrap(os.WriteFile(filepath.Join(dir, name+"-key.pem"), secret, keyFileMode))
}

func readPEMBlock(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, Error.New("%s holds no PEM block", path)
	}
	return block.Bytes, nil
}
