package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/spf13/cobra"
)

// defaultOpsTimeout limits one request to an entry process.
const defaultOpsTimeout = 3 * time.Second

// opsClient sends requests to the operations API of entry processes. Command flags set
// its fields. The zero value uses plain HTTP without a timeout.
type opsClient struct {
	// timeout limits one request to an entry process.
	timeout time.Duration
	// ca is a PEM file with the certificate authorities that sign the VMs'
	// certificates. If it is empty, the system's root certificates are used.
	ca string

	// once guards client and clientErr, which the first request initializes.
	once      sync.Once
	client    *http.Client
	clientErr error
}

// addFlags adds the flags for requests to VMs to a command.
func (o *opsClient) addFlags(c *cobra.Command) {
	c.Flags().DurationVar(&o.timeout, "timeout", defaultOpsTimeout, "timeout of a request to a VM")
	c.Flags().StringVar(&o.ca, "ca", "", "PEM file with the CA certificates for the VMs; addresses without a scheme then use https")
}

// newHTTPClient returns an HTTP client with the timeout that trusts the CA.
func (o *opsClient) newHTTPClient() (*http.Client, error) {
	client := &http.Client{Timeout: o.timeout}
	if o.ca == "" {
		return client, nil
	}
	text, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read the CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, lhcode.Newf(lhcode.KeyInvalid, "%s contains no certificate", o.ca)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}}
	return client, nil
}

// service returns a client for the operations API of the process at address, which is an
// IP address with a port or a URL.
func (o *opsClient) service(address string) (lhops.Service, error) {
	if !strings.Contains(address, "://") {
		scheme := "http://"
		if o.ca != "" {
			scheme = "https://"
		}
		address = scheme + address
	}
	o.once.Do(func() { o.client, o.clientErr = o.newHTTPClient() })
	if o.clientErr != nil {
		return nil, o.clientErr
	}
	return lhops.NewClient(address, o.client)
}
