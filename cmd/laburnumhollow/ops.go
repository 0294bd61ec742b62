package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/spf13/cobra"
)

// defaultTimeout bounds a question to one entry process.
const defaultTimeout = 3 * time.Second

// addTimeout adds the flag that bounds a question to one entry process.
func addTimeout(c *cobra.Command, timeout *time.Duration) {
	c.Flags().DurationVar(timeout, "timeout", defaultTimeout, "how long to wait for the answer of a VM")
}

// opsClient returns the operators' side of the process at address, which is an
// IP number with a port or a URL.
func opsClient(address string, timeout time.Duration) (lhops.Service, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return lhops.NewClient(address, &http.Client{Timeout: timeout})
}
