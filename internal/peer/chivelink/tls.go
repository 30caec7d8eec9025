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

// alpnProtocol is the ALPN name of the link alpnProtocol.
const alpnProtocol = "chiveyoke/1"

// minCheckInterval is the shortest time between two looks at the key files.
const minCheckInterval = time.Second

// Keys holds the paths of the PEM files for mutual TLS. Roots may hold several
// authorities while keys are being rolled. The files are read again when they
// change, so that new connections use new keys without a restart.
type Keys struct {
	Cert  string
	Key   string
	Roots string

	mu          sync.Mutex
	checkedAt   time.Time
	modTime     time.Time
	certificate *tls.Certificate
	rootPool    *x509.CertPool
}

// Load reads the files if they changed.
func (k *Keys) Load() error {
	_, _, err := k.load()
	return err
}

func (k *Keys) load() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.certificate != nil && time.Since(k.checkedAt) < minCheckInterval {
		return k.certificate, k.rootPool, nil
	}
	change := k.newestModTime()
	k.checkedAt = time.Now()
	if k.certificate != nil && change.Equal(k.modTime) {
		return k.certificate, k.rootPool, nil
	}
	pair, pool, err := readKeys(k.Cert, k.Key, k.Roots)
	if err != nil && k.certificate != nil {
		return k.certificate, k.rootPool, nil
	}
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	k.certificate, k.rootPool, k.modTime = pair, pool, change
	return pair, pool, nil
}

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

func readKeys(cert, key, roots string) (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(roots)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, Error.New("%s holds no certificate", roots)
	}
	return &pair, pool, nil
}

// resetKey returns the key of stateless resets. It stays the same over restarts,
// so that a process which was restarted can tell its peers at once that their
// connections are gone.
func (k *Keys) resetKey() *quic.StatelessResetKey {
	pair, _, err := k.load()
	if err != nil {
		return nil
	}
	secret, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset"), secret...)))
	return &key
}

// serverConfig returns the TLS settings of a listener.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool, err := k.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{alpnProtocol},
			}, nil
		},
	}
}

// clientConfig returns the TLS settings for a connection to a process of that
// role.
func (k *Keys) clientConfig(role Role) (*tls.Config, error) {
	pair, pool, err := k.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
		ServerName:   role.DNSName(),
		NextProtos:   []string{alpnProtocol},
	}, nil
}

// DNSName returns the name that the certificates of the role's processes bear.
func (r Role) DNSName() string {
	return string(r) + ".chiveyoke.internal"
}

// hasRole reports whether the peer's certificate bears the role.
func hasRole(state tls.ConnectionState, r Role) bool {
	if len(state.PeerCertificates) == 0 {
		return false
	}
	return slices.Contains(state.PeerCertificates[0].DNSNames, r.DNSName())
}
