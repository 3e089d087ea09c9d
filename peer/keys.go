// Package peer connects instances over QUIC with mutual TLS. Each call between
// them is a stream of framed messages.
package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"hickorydrum/fault"
)

// Protocol is the name and version of the protocol between instances, used in ALPN.
const Protocol = "hickorydrum/1"

const (
	serialBits   = 128
	maxClockSkew = time.Hour // between instances; certificates are valid this long before they are made
	pemMarker    = "-----BEGIN"
	pemTypeCert  = "CERTIFICATE"
	pemTypeKey   = "EC PRIVATE KEY"
	keyFileMode  = 0o600
)

// Keys holds the certificate and the private key of an instance, and the
// certificate authorities (CAs) that it trusts. Connections made after a Reload use
// the new keys; existing ones stay up.
type Keys struct {
	ca, cert, key string // file names or PEM text
	current       atomic.Pointer[keyring]
}

// keyring is what one Reload read.
type keyring struct {
	pool *x509.CertPool // trusted CAs
	cert tls.Certificate
}

// NewKeys reads keys. Each argument is a file name or PEM text.
func NewKeys(ca, cert, key string) (*Keys, error) {
	k := &Keys{ca: ca, cert: cert, key: key}
	return k, k.Reload()
}

// Reload reads the keys again. If that fails, it returns a fault and the previous
// keys stay in use.
func (k *Keys) Reload() error {
	ca, err := readPEM(k.ca)
	if err != nil {
		return err
	}
	cert, err := readPEM(k.cert)
	if err != nil {
		return err
	}
	key, err := readPEM(k.key)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fault.New(fault.Invalid, "-ca contains no certificate",
			"set -ca to the ca.pem that certify wrote")
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return fault.New(fault.Invalid, "the certificate and the private key do not match",
			"set -cert and -key to a pair that certify wrote", fault.WithCause(err))
	}
	k.current.Store(&keyring{pool: pool, cert: pair})
	return nil
}

// readPEM returns the source itself if it is PEM text, or else the content of the
// file that it names.
func readPEM(source string) ([]byte, error) {
	if strings.HasPrefix(source, pemMarker) {
		return []byte(source), nil
	}
	data, err := os.ReadFile(source)
	if err != nil {
		return nil, fault.New(fault.Missing, "a file with a key or certificate cannot be read",
			"set -ca, -cert and -key to the files that certify wrote", fault.WithCause(err))
	}
	return data, nil
}

// serverConfig returns the TLS configuration of the listening side. It reads the
// certificate and the trusted CAs at each handshake, so that a Reload takes effect
// without a restart.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := k.verify(state, x509.ExtKeyUsageClientAuth)
			return err
		},
	}
}

// clientConfig returns the TLS configuration of the dialing side for the instance
// with the given name, any if it is empty. VerifyConnection replaces the standard
// verification, since that takes the trusted CAs from the configuration and would
// not see a Reload.
func (k *Keys) clientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{Protocol},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection does it
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			leaf, err := k.verify(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			// The name of a seed is unknown, so that any certificate of a trusted CA
			// is accepted.
			if name != "" && leaf.Subject.CommonName != name {
				return fault.New(fault.Denied, "the instance at this address is "+leaf.Subject.CommonName+", not "+name,
					"wait until the roster is up to date")
			}
			return nil
		},
	}
}

// verify checks the certificate chain of the other side against the CAs that are
// trusted now, and returns its leaf.
func (k *Keys) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (*x509.Certificate, error) {
	if len(state.PeerCertificates) == 0 {
		return nil, fault.New(fault.Denied, "the peer presented no certificate", "make one with certify")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: k.current.Load().pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return nil, fault.New(fault.Denied, "the certificate of the peer is not trusted",
			"make it with certify from the same authority", fault.WithCause(err))
	}
	return leaf, nil
}

// KeyPair is a certificate and its private key in PEM.
type KeyPair struct {
	cert []byte
	key  []byte
}

// Cert returns the certificate in PEM.
func (p KeyPair) Cert() []byte { return p.cert }

// Key returns the private key in PEM.
func (p KeyPair) Key() []byte { return p.key }

// ReadKeyPair reads a pair. Each argument is a file name or PEM text.
func ReadKeyPair(cert, key string) (KeyPair, error) {
	c, err := readPEM(cert)
	if err != nil {
		return KeyPair{}, err
	}
	k, err := readPEM(key)
	return KeyPair{cert: c, key: k}, err
}

// WriteFiles writes the pair to two files, which only their owner can read.
func (p KeyPair) WriteFiles(cert, key string) error {
	if err := os.WriteFile(cert, p.cert, keyFileMode); err != nil {
		return err
	}
	return os.WriteFile(key, p.key, keyFileMode)
}

// NewAuthority makes the self-signed certificate of a CA that is valid until the
// given time.
func NewAuthority(name string, now, until time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              until,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	return sign(template, nil)
}

// Certify makes the certificate of the named instance, valid until the given time.
// The receiver is the key pair of the CA that signs it.
func (p KeyPair) Certify(name string, now, until time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-maxClockSkew),
		NotAfter:    until,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return sign(template, &p)
}

// sign makes a key and its certificate, signed by the authority or, if that is nil,
// by the key itself.
func sign(template *x509.Certificate, authority *KeyPair) (KeyPair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, err
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	parent, signer := template, key
	if authority != nil {
		pair, err := tls.X509KeyPair(authority.cert, authority.key)
		if err != nil {
			return KeyPair{}, fault.New(fault.Invalid, "the CA's certificate and private key do not match",
				"name the pair that certify wrote", fault.WithCause(err))
		}
		var ok bool
		if signer, ok = pair.PrivateKey.(*ecdsa.PrivateKey); !ok {
			return KeyPair{}, fault.New(fault.Invalid, "the CA's private key is not an ECDSA key", "make one with certify")
		}
		parent = pair.Leaf
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		cert: pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: der}),
		key:  pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}),
	}, nil
}
