package consul

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"wellgw/internal/config"
)

// errNoCertificate is the error for a file of certificate authorities that contains none.
var errNoCertificate = errors.New("file contains no certificate")

// tlsConfig returns a configuration that reads certificates and authorities at every handshake, so
// that replaced files take effect with the next connection. Files that can't be read now are an
// error.
func tlsConfig(t *config.TLS) (*tls.Config, error) {
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: t.ServerName}
	if t.CertFile != "" {
		read := func() (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
			return &cert, err
		}
		if _, err := read(); err != nil {
			return nil, fmt.Errorf("consul.tls.cert_file: %w", err)
		}
		conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return read() }
	}
	if t.CAFile != "" {
		if _, err := readAuthorities(t.CAFile); err != nil {
			return nil, fmt.Errorf("consul.tls.ca_file: %w", err)
		}
		// crypto/tls takes the authorities only once. To read them at every handshake, its
		// verification is replaced by an equal one against the current content of the file.
		conf.InsecureSkipVerify = true
		conf.VerifyConnection = func(s tls.ConnectionState) error { return verifyServer(s, t.CAFile) }
	}
	return conf, nil
}

// readAuthorities reads a PEM file of certificate authorities.
func readAuthorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errNoCertificate
	}
	return pool, nil
}

// verifyServer verifies a server's certificate against the authorities in a file, as crypto/tls
// does.
func verifyServer(s tls.ConnectionState, caFile string) error {
	roots, err := readAuthorities(caFile)
	if err != nil {
		return fmt.Errorf("consul.tls.ca_file: %w", err)
	}
	opts := x509.VerifyOptions{Roots: roots, DNSName: s.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err = s.PeerCertificates[0].Verify(opts)
	return err
}
