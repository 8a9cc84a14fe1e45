package tlpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// reloadEvery is the least time between two looks at the files.
const reloadEvery = time.Second

var errNoAuthority = errors.New("the file of the authority holds no certificate")

// Credentials holds the certificate, key and authority for mutual TLS between
// instances; changed files are used for new connections without a restart.
type Credentials struct {
	certificate, key, authority string
	now                         func() time.Time

	mu     sync.Mutex
	looked time.Time
	loaded time.Time
	pair   *tls.Certificate
	roots  *x509.CertPool
}

// NewCredentials reads the files; an error names the one that is wrong.
func NewCredentials(certificate, key, authority string, now func() time.Time) (*Credentials, error) {
	c := &Credentials{certificate: certificate, key: key, authority: authority, now: now}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Credentials) load() error {
	changed := c.changed()
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return fmt.Errorf("peer certificate %s: %w", c.certificate, err)
	}
	pem, err := os.ReadFile(c.authority)
	if err != nil {
		return fmt.Errorf("peer authority %s: %w", c.authority, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("peer authority %s: %w", c.authority, errNoAuthority)
	}
	c.pair, c.roots, c.loaded = &pair, roots, changed
	return nil
}

// changed returns when one of the files changed last.
func (c *Credentials) changed() time.Time {
	var last time.Time
	for _, f := range []string{c.certificate, c.key, c.authority} {
		i, err := os.Stat(f)
		if err == nil && i.ModTime().After(last) {
			last = i.ModTime()
		}
	}
	return last
}

// current returns what to use now; files that can't be read leave the old in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.looked) >= reloadEvery {
		c.looked = now
		if !c.changed().Equal(c.loaded) {
			_ = c.load()
		}
	}
	return c.pair, c.roots
}

func (c *Credentials) listener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	})
}

// client returns the configuration of the dialling side; instances are reached
// by IP numbers that change, so that the chain counts and the name does not.
func (c *Credentials) client() *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*pair},
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s.PeerCertificates, roots)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errStranger
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
