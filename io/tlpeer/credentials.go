package tlpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"trefoillanding/io/tlfile"
)

var errNoAuthority = errors.New("the authority file contains no certificate")

// Credentials holds the certificate, key and authority for mutual TLS between
// instances; changed files are used for new connections without a restart.
type Credentials struct {
	watched *tlfile.Watched[keyMaterial]
}

// keyMaterial is the contents of the files when they were last read.
type keyMaterial struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// NewCredentials reads the three PEM files; an error names the file at fault.
func NewCredentials(certificate, key, authority string, now func() time.Time) (*Credentials, error) {
	load := func() (keyMaterial, error) { return readKeyMaterial(certificate, key, authority) }
	w, err := tlfile.New([]string{certificate, key, authority}, load, now)
	if err != nil {
		return nil, err
	}
	return &Credentials{watched: w}, nil
}

func readKeyMaterial(certificate, key, authority string) (keyMaterial, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return keyMaterial{}, fmt.Errorf("peer certificate %s: %w", certificate, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return keyMaterial{}, fmt.Errorf("peer authority %s: %w", authority, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return keyMaterial{}, fmt.Errorf("peer authority %s: %w", authority, errNoAuthority)
	}
	return keyMaterial{pair, roots}, nil
}

func (c *Credentials) listener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			v := c.watched.Current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{v.pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    v.roots,
			}, nil
		},
	})
}

// client returns the TLS configuration of the dialling side. It verifies the
// certificate chain but not the host name, because instances are dialled by IP
// addresses that change.
func (c *Credentials) client() *tls.Config {
	v := c.watched.Current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{v.pair},
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s.PeerCertificates, v.roots)
		},
	}
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errUnauthenticated
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
