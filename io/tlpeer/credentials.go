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

var errNoAuthority = errors.New("the file of the authority holds no certificate")

// Credentials holds the certificate, key and authority for mutual TLS between
// instances; changed files are used for new connections without a restart.
type Credentials struct {
	watched *tlfile.Watched[credential]
}

// credential is what the files held when they were last read.
type credential struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// NewCredentials reads the files; an error names the one that is wrong.
func NewCredentials(certificate, key, authority string, now func() time.Time) (*Credentials, error) {
	load := func() (credential, error) { return readCredential(certificate, key, authority) }
	w, err := tlfile.New([]string{certificate, key, authority}, load, now)
	if err != nil {
		return nil, err
	}
	return &Credentials{watched: w}, nil
}

func readCredential(certificate, key, authority string) (credential, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return credential{}, fmt.Errorf("peer certificate %s: %w", certificate, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return credential{}, fmt.Errorf("peer authority %s: %w", authority, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return credential{}, fmt.Errorf("peer authority %s: %w", authority, errNoAuthority)
	}
	return credential{pair, roots}, nil
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

// client returns the configuration of the dialling side; instances are reached
// by IP numbers that change, so that the chain counts and the name does not.
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
