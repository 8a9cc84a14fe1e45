package tlpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	require.NoError(t, err)
	c, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{c, key}
}

// write puts a certificate signed by the authority, its key and the authority itself into a folder as PEM files.
func (a authority) write(t *testing.T, folder string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "peer"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, key.Public(), a.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writePEM(t, folder, "cert.pem", "CERTIFICATE", der)
	writePEM(t, folder, "key.pem", "PRIVATE KEY", private)
	writePEM(t, folder, "authority.pem", "CERTIFICATE", a.certificate.Raw)
}

func writePEM(t *testing.T, folder, file, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(filepath.Join(folder, file), data, 0o600))
}

func credentials(t *testing.T, folder string, now func() time.Time) *Credentials {
	t.Helper()
	at := func(f string) string { return filepath.Join(folder, f) }
	c, err := NewCredentials(at("cert.pem"), at("key.pem"), at("authority.pem"), now)
	require.NoError(t, err)
	return c
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	folderA, folderB, folderX := t.TempDir(), t.TempDir(), t.TempDir()
	ours.write(t, folderA, 2)
	ours.write(t, folderB, 3)
	theirs.write(t, folderX, 4)
	with := func(folder string) option {
		return func(o *Options) { o.Credentials = credentials(t, folder, time.Now) }
	}
	a, _ := newMesh(t, "a", with(folderA))
	b, counters := newMesh(t, "b", with(folderB))
	x, _ := newMesh(t, "x", with(folderX))
	plain, _ := newMesh(t, "plain")
	Handle(b, "Text", func(_ context.Context, _ Peer, s string) (string, error) { return s, nil })
	for _, m := range []*Mesh{a, b, x, plain} {
		m.Start()
	}
	setInstances(a, b, x, plain)
	s, err := Call[string, string](testContext(t), a, "b", "Text", "hello")
	require.NoError(t, err)
	assert.Equal(t, "hello", s)
	for _, m := range []*Mesh{x, plain} {
		_, err = Call[string, string](testContext(t), m, "b", "Text", "hello")
		assert.Error(t, err, m.o.Name)
	}
	assert.EqualValues(t, 1, counters.of(countAccepted))
}

func TestChangedCertificatesAreUsedWithoutARestart(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	old.write(t, folder, 2)
	now := time.Now()
	c := credentials(t, folder, func() time.Time { return now })
	v := c.watched.Current()
	first := v.pair.Leaf.SerialNumber.Int64()
	assert.EqualValues(t, 2, first)

	next.write(t, folder, 3)
	later := now.Add(time.Hour)
	for _, f := range []string{"cert.pem", "key.pem", "authority.pem"} {
		require.NoError(t, os.Chtimes(filepath.Join(folder, f), later, later))
	}
	v = c.watched.Current()
	assert.EqualValues(t, 2, v.pair.Leaf.SerialNumber.Int64(), "the files are not checked again for each connection")
	now = now.Add(time.Minute)
	v = c.watched.Current()
	assert.EqualValues(t, 3, v.pair.Leaf.SerialNumber.Int64())
	assert.NoError(t, verifyChain([]*x509.Certificate{v.pair.Leaf}, v.roots))

	require.NoError(t, os.WriteFile(filepath.Join(folder, "key.pem"), []byte("half written"), 0o600))
	now = now.Add(time.Minute)
	v = c.watched.Current()
	assert.EqualValues(t, 3, v.pair.Leaf.SerialNumber.Int64(), "the old certificate stays in use while a new file can't be read")
	_, err := NewCredentials("none", "none", "none", time.Now)
	assert.ErrorContains(t, err, "none")
}
