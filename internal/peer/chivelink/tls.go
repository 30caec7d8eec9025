package chivelink

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// alpnProtocol is the ALPN name of the protocol.
const alpnProtocol = "chiveyoke/1"

// minCheckInterval is the minimum time between checks of the key files for changes.
const minCheckInterval = time.Second

// Keys holds the paths of the PEM files for mutual TLS. The Roots file may contain
// several authorities, as it does during a key rotation. The files are read again
// after a change, so that new connections use new keys without a restart. Keys is
// safe for concurrent use.
type Keys struct {
	Cert  string
	Key   string
	Roots string

	mu sync.Mutex
	// checkedAt is the time of the last check for changes, and modTime the newest
	// modification time of the files when they were read.
	checkedAt   time.Time
	modTime     time.Time
	certificate *tls.Certificate
	rootPool    *x509.CertPool
}

// Load reads the files if they have changed. If they cannot be read, it keeps the
// last keys, or returns an error if there are none.
func (k *Keys) Load() error {
	_, _, err := k.load()
	return err
}

// load returns the certificate and the authorities after Load.
func (k *Keys) load() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.certificate != nil && time.Since(k.checkedAt) < minCheckInterval {
		return k.certificate, k.rootPool, nil
	}
	modTime := k.newestModTime()
	k.checkedAt = time.Now()
	if k.certificate != nil && modTime.Equal(k.modTime) {
		return k.certificate, k.rootPool, nil
	}
	cert, roots, err := readKeys(k.Cert, k.Key, k.Roots)
	if err != nil && k.certificate != nil {
		return k.certificate, k.rootPool, nil
	}
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	k.certificate, k.rootPool, k.modTime = cert, roots, modTime
	return cert, roots, nil
}

// newestModTime returns the newest modification time of the files that exist.
func (k *Keys) newestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{k.Cert, k.Key, k.Roots} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// readKeys reads the certificate with its key, and the authorities.
func readKeys(certPath, keyPath, rootsPath string) (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(certPath, keyPath)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(rootsPath)
	if err != nil {
		return nil, nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, Error.New("%s holds no certificate", rootsPath)
	}
	return &cert, roots, nil
}

// resetKey returns the key for stateless resets, or nil if it cannot be derived. It
// is derived from the private key and stays the same after a restart, so that a
// restarted process can tell its peers at once that their connections are closed.
func (k *Keys) resetKey() *quic.StatelessResetKey {
	cert, _, err := k.load()
	if err != nil {
		return nil
	}
	secret, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset"), secret...)))
	return &key
}

// serverConfig returns the TLS settings of a listener. It requires client
// certificates and uses the current keys for each connection.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots, err := k.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{alpnProtocol},
			}, nil
		},
	}
}

// clientConfig returns the TLS settings for a connection to a process of the given
// role, whose certificate must name the role.
func (k *Keys) clientConfig(role Role) (*tls.Config, error) {
	cert, roots, err := k.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      roots,
		ServerName:   role.DNSName(),
		NextProtos:   []string{alpnProtocol},
	}, nil
}

// DNSName returns the DNS name in the certificates of processes with the role.
func (r Role) DNSName() string {
	return string(r) + ".chiveyoke.internal"
}

// hasRole reports whether the peer's certificate names the role.
func hasRole(state tls.ConnectionState, r Role) bool {
	if len(state.PeerCertificates) == 0 {
		return false
	}
	return slices.Contains(state.PeerCertificates[0].DNSNames, r.DNSName())
}
