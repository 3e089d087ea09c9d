// Package peer carries messages between instances over QUIC, with mutual TLS.
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

// Protocol names the version of the protocol between instances.
const Protocol = "hickorydrum/1"

const (
	serialBits   = 128
	maxClockSkew = time.Hour // clocks may differ by this much
	pemMarker    = "-----BEGIN"
	pemTypeCert  = "CERTIFICATE"
	pemTypeKey   = "EC PRIVATE KEY"
	keyFileMode  = 0o600
)

// Keys holds an instance's certificate, its key and the trusted authorities. It
// can be loaded again while connections are up; new ones use the new keys.
type Keys struct {
	ca, cert, key string
	current       atomic.Pointer[keyring]
}

type keyring struct {
	pool *x509.CertPool
	cert tls.Certificate
}

// NewKeys reads keys. Each argument is a file name or PEM text.
func NewKeys(ca, cert, key string) (*Keys, error) {
	k := &Keys{ca: ca, cert: cert, key: key}
	return k, k.Reload()
}

// Reload reads the keys again. After a fault the old ones stay in use.
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
		return fault.New(fault.Invalid, "the authority holds no certificate",
			"set -ca to the ca.pem that certify wrote")
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return fault.New(fault.Invalid, "certificate and key do not fit",
			"set -cert and -key to a pair that certify wrote", fault.WithCause(err))
	}
	k.current.Store(&keyring{pool: pool, cert: pair})
	return nil
}

func readPEM(source string) ([]byte, error) {
	if strings.HasPrefix(source, pemMarker) {
		return []byte(source), nil
	}
	data, err := os.ReadFile(source)
	if err != nil {
		return nil, fault.New(fault.Missing, "a key file cannot be read",
			"set -ca, -cert and -key to the files that certify wrote", fault.WithCause(err))
	}
	return data, nil
}

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

// clientConfig verifies the chain itself, with the authorities of the moment,
// so that they can be changed without a restart.
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
			// The name of a seed is not known; its authority must do.
			if name != "" && leaf.Subject.CommonName != name {
				return fault.New(fault.Denied, "the instance at this address is "+leaf.Subject.CommonName+", not "+name,
					"wait until the roster is up to date")
			}
			return nil
		},
	}
}

func (k *Keys) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (*x509.Certificate, error) {
	if len(state.PeerCertificates) == 0 {
		return nil, fault.New(fault.Denied, "the other side showed no certificate", "make one with certify")
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
		return nil, fault.New(fault.Denied, "the certificate of the other side is not trusted",
			"make it with certify from the same authority", fault.WithCause(err))
	}
	return leaf, nil
}

// KeyPair is a certificate and its key in PEM.
type KeyPair struct {
	cert []byte
	key  []byte
}

// Cert returns the certificate in PEM.
func (p KeyPair) Cert() []byte { return p.cert }

// Key returns the private key in PEM.
func (p KeyPair) Key() []byte { return p.key }

// ReadKeyPair reads a pair from two files.
func ReadKeyPair(cert, key string) (KeyPair, error) {
	c, err := readPEM(cert)
	if err != nil {
		return KeyPair{}, err
	}
	k, err := readPEM(key)
	return KeyPair{cert: c, key: k}, err
}

// WriteFiles writes the pair; the key is readable by its owner only.
func (p KeyPair) WriteFiles(cert, key string) error {
	if err := os.WriteFile(cert, p.cert, keyFileMode); err != nil {
		return err
	}
	return os.WriteFile(key, p.key, keyFileMode)
}

// NewAuthority makes a certificate authority that is valid until the instant.
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

// Certify makes the certificate of an instance that is valid until the instant.
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
			return KeyPair{}, fault.New(fault.Invalid, "the authority's certificate and key do not fit",
				"name the pair that certify wrote", fault.WithCause(err))
		}
		var ok bool
		if signer, ok = pair.PrivateKey.(*ecdsa.PrivateKey); !ok {
			return KeyPair{}, fault.New(fault.Invalid, "the authority's key is not an ECDSA key", "make one with certify")
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
