package xds

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	grpccreds "google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"yardwharf/internal/carry/xdslink"
)

// transport reads the keys for one connection; nil is plain text. They are read
// for each attempt, and the certificate again at each handshake, so that files that
// change count without a restart.
func transport(t *xdslink.TLS) (grpccreds.TransportCredentials, error) {
	if t == nil {
		return insecure.NewCredentials(), nil
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("tls: ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("tls: ca: %s holds no certificate", t.CA)
	}
	c := &tls.Config{RootCAs: roots, ServerName: t.ServerName, MinVersion: tls.VersionTLS12}
	if t.Cert != "" {
		own := func() (*tls.Certificate, error) {
			pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
			if err != nil {
				return nil, fmt.Errorf("tls: cert and key: %w", err)
			}
			return &pair, nil
		}
		if _, err := own(); err != nil { // said now, not in the middle of a handshake
			return nil, err
		}
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return own() }
	}
	return grpccreds.NewTLS(c), nil
}
