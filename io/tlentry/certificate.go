package tlentry

import (
	"crypto/tls"
	"fmt"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlfile"
)

// TLSConfig returns the TLS configuration for the settings, or nil when they name no
// certificate. New connections use the certificate of changed files.
func TLSConfig(s *tlwire.SecuritySettings, now func() time.Time) (*tls.Config, error) {
	if s == nil || s.Certificate == "" {
		return nil, nil
	}
	load := func() (tls.Certificate, error) { return tls.LoadX509KeyPair(s.Certificate, s.Key) }
	w, err := tlfile.New([]string{s.Certificate, s.Key}, load, now)
	if err != nil {
		return nil, fmt.Errorf("field Security.Certificate: %w", err)
	}
	// The HTTP library loads the files itself as well; GetConfigForClient takes precedence.
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{w.Current()},
			}, nil
		},
	}, nil
}
