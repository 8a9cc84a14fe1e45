package tlentry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

// writeCertificate writes a self-signed certificate and its key to files modified at the
// given time.
func writeCertificate(t *testing.T, s *tlwire.SecuritySettings, serial int64, at time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	for name, block := range map[string]*pem.Block{
		s.Certificate: {Type: "CERTIFICATE", Bytes: der},
		s.Key:         {Type: "PRIVATE KEY", Bytes: private},
	} {
		require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
		require.NoError(t, os.Chtimes(name, at, at))
	}
}

func TestCertificateIsReloadedWithoutRestart(t *testing.T) {
	e, _ := testEntry(t)
	folder := t.TempDir()
	s := &tlwire.SecuritySettings{Certificate: filepath.Join(folder, "c.pem"), Key: filepath.Join(folder, "k.pem")}
	now := time.Unix(1000, 0)
	writeCertificate(t, s, 1, now)
	c, err := TLSConfig(s, func() time.Time { return now })
	require.NoError(t, err)
	e.deps.Settings.Security = s
	a := netip.MustParseAddrPort("127.0.0.1:18191")
	server, err := Listen(e, a, c)
	require.NoError(t, err)
	defer server.Close()
	serial := func() int64 {
		c, err := tls.Dial("tcp", a.String(), &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer c.Close()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	assert.EqualValues(t, 1, serial())
	now = now.Add(time.Minute)
	writeCertificate(t, s, 2, now)
	assert.EqualValues(t, 2, serial())
}

func TestMissingCertificateIsError(t *testing.T) {
	_, err := TLSConfig(&tlwire.SecuritySettings{Certificate: "missing", Key: "missing"}, time.Now)
	assert.ErrorContains(t, err, "Security.Certificate")
}
