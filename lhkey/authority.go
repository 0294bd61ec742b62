package lhkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"net"
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Validity periods of certificates.
const (
	// AuthorityValidity is the validity period of an authority's certificate.
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	// VMValidity is the validity period of a VM's certificate.
	VMValidity = 365 * 24 * time.Hour
	// backdate is how far NotBefore lies in the past, so that VMs whose clocks are
	// slow accept a new certificate.
	backdate = 5 * time.Minute
)

// Authority is a group's certificate authority. Use NewAuthority or ReadAuthority to
// create one.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// VM describes the VM that a certificate is issued to.
type VM struct {
	Group string
	Name  string
	// Addresses are the addresses at which operators connect to the VM.
	Addresses []netip.Addr
}

// KeyPair is a PEM-encoded certificate and its private key.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates an authority whose certificates are constrained to the DNS
// name of one group.
func NewAuthority(group string, now time.Time) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := newTemplate("laburnumhollow authority of "+group, now, AuthorityValidity)
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.PermittedDNSDomainsCritical = true
	template.PermittedDNSDomains = []string{GroupDNSName(group)}
	certificate, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a key and certificate for a VM. The certificate expires no later than
// the authority's.
func (a *Authority) Issue(vm VM, now time.Time) (KeyPair, error) {
	key, err := newKey()
	if err != nil {
		return KeyPair{}, err
	}
	template := newTemplate(vm.Name, now, VMValidity)
	if template.NotAfter.After(a.certificate.NotAfter) {
		template.NotAfter = a.certificate.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{GroupDNSName(vm.Group)}
	for _, address := range vm.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	certificate, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return KeyPair{}, err
	}
	trusted := &keyMaterial{authorities: x509.NewCertPool()}
	trusted.authorities.AddCert(a.certificate)
	// This fails if the authority belongs to another group or has expired.
	err = trusted.verify(certificate, nil, GroupDNSName(vm.Group), now, x509.ExtKeyUsageServerAuth)
	if err != nil {
		return KeyPair{}, lhcode.Wrap(lhcode.KeyInvalid, err, "verify the new certificate against the authority")
	}
	return encodePair(certificate, key)
}

// KeyPair returns the authority's certificate and private key.
func (a *Authority) KeyPair() (KeyPair, error) { return encodePair(a.certificate, a.key) }

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, lhcode.Wrap(lhcode.Internal, err, "generate a key")
}

// newTemplate returns a certificate template without a serial number;
// x509.CreateCertificate generates one.
func newTemplate(name string, now time.Time, validity time.Duration) *x509.Certificate {
	return &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "sign a certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return certificate, lhcode.Wrap(lhcode.Internal, err, "parse a new certificate")
}
