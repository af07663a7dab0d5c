package link

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	protocolName = "mastwinch/1"
	keyInfo      = "mastwinch link key"
	serverName   = "mastwinch"
	// Validity of the certificate, relative to its creation.
	certificateNotBefore = -24 * time.Hour
	certificateNotAfter  = 10 * 365 * 24 * time.Hour
)

// Credentials authenticate a process as part of the system.
type Credentials struct {
	certificate tls.Certificate
	public      ed25519.PublicKey
}

// NewCredentials derives from secret the key pair that all processes with that
// secret share.
func NewCredentials(secret string) (Credentials, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyInfo, ed25519.SeedSize)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "link credentials")
	}
	private := ed25519.NewKeyFromSeed(seed)
	public, ok := private.Public().(ed25519.PublicKey)
	if !ok {
		return Credentials{}, errors.AssertionFailedf("public key of an ed25519 private key has another type")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    time.Now().Add(certificateNotBefore),
		NotAfter:     time.Now().Add(certificateNotAfter),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "link credentials")
	}
	return Credentials{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private},
		public:      public,
	}, nil
}

// config returns a TLS configuration with which each end accepts only the shared
// key. The validity period of certificates is not checked, since VMs' clocks differ.
func (credentials Credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{credentials.certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection pins the key
		VerifyConnection:   credentials.verify,
		NextProtos:         []string{protocolName},
		ServerName:         serverName,
	}
}

// verify returns an error unless the peer's certificate has the shared key.
func (credentials Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("link: peer sent no certificate")
	}
	public, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(public, credentials.public) {
		return errors.New("link: peer has a different secret")
	}
	return nil
}
