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

// How long certificates are valid.
const (
	// AuthorityLife is the life of an authority's certificate.
	AuthorityLife = 10 * 365 * 24 * time.Hour
	// VMLife is the life of a VM's certificate.
	VMLife = 365 * 24 * time.Hour
	// backdate makes a certificate valid for VMs whose clocks are behind.
	backdate = 5 * time.Minute
)

// Authority signs the certificates of a group. It is made by NewAuthority or
// ReadAuthority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// VM is what a certificate says of a VM.
type VM struct {
	Group string
	Name  string
	// Addresses are those at which operators reach the VM.
	Addresses []netip.Addr
}

// Pair is a certificate and its private key in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority makes an authority whose certificates are good for one group only.
func NewAuthority(group string, now time.Time) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := newTemplate("laburnumhollow authority of "+group, now, AuthorityLife)
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.PermittedDNSDomainsCritical = true
	template.PermittedDNSDomains = []string{GroupName(group)}
	certificate, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue makes the certificate and key of a VM. The certificate is not valid for
// longer than the authority's.
func (a *Authority) Issue(vm VM, now time.Time) (Pair, error) {
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template := newTemplate(vm.Name, now, VMLife)
	if template.NotAfter.After(a.certificate.NotAfter) {
		template.NotAfter = a.certificate.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{GroupName(vm.Group)}
	for _, address := range vm.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	certificate, err := sign(template, a.certificate, key, a.key)
	if err != nil {
		return Pair{}, err
	}
	trusted := &keys{authorities: x509.NewCertPool()}
	trusted.authorities.AddCert(a.certificate)
	// The authority may be one of another group, or expired.
	err = trusted.verify(certificate, nil, GroupName(vm.Group), now, x509.ExtKeyUsageServerAuth)
	if err != nil {
		return Pair{}, lhcode.Wrap(lhcode.KeyInvalid, err, "the authority's certificate")
	}
	return encodePair(certificate, key)
}

// Pair returns the authority's certificate and private key.
func (a *Authority) Pair() (Pair, error) { return encodePair(a.certificate, a.key) }

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, lhcode.Wrap(lhcode.Internal, err, "make a key")
}

// newTemplate returns a certificate without a serial number, which sign chooses.
func newTemplate(name string, now time.Time, life time.Duration) *x509.Certificate {
	return &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(life),
		BasicConstraintsValid: true,
	}
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "sign a certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return certificate, lhcode.Wrap(lhcode.Internal, err, "read a new certificate")
}
