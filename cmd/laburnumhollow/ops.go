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

// defaultTimeout bounds a question to one entry process.
const defaultTimeout = 3 * time.Second

// operator asks entry processes, as the flags of a command say. Its zero value
// asks by plain HTTP and without a bound.
type operator struct {
	// timeout bounds a question to one entry process.
	timeout time.Duration
	// ca is a PEM file with the authorities of the VMs' certificates; empty for
	// those of the system.
	ca string

	// once guards client and failed, which are set by the first question.
	once   sync.Once
	client *http.Client
	failed error
}

// addTo adds the flags of the operator to a command.
func (o *operator) addTo(c *cobra.Command) {
	c.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to wait for the answer of a VM")
	c.Flags().StringVar(&o.ca, "ca", "", "PEM file with the CA of the VMs; addresses without a scheme are then https")
}

// newClient returns a client that trusts the CA.
func (o *operator) newClient() (*http.Client, error) {
	client := &http.Client{Timeout: o.timeout}
	if o.ca == "" {
		return client, nil
	}
	text, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.FileUnreadable, err, "read the CA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, lhcode.Newf(lhcode.KeyInvalid, "%s holds no certificate", o.ca)
	}
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}}
	return client, nil
}

// ask returns the operators' side of the process at address, which is an IP number
// with a port or a URL.
func (o *operator) ask(address string) (lhops.Service, error) {
	if !strings.Contains(address, "://") {
		scheme := "http://"
		if o.ca != "" {
			scheme = "https://"
		}
		address = scheme + address
	}
	o.once.Do(func() { o.client, o.failed = o.newClient() })
	if o.failed != nil {
		return nil, o.failed
	}
	return lhops.NewClient(address, o.client)
}
