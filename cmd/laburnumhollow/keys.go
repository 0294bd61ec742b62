package main

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhkey"
	"github.com/spf13/cobra"
)

// keysResult lists the files that a command wrote.
type keysResult struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func newKeysCommand(p *printer) *cobra.Command {
	c := &cobra.Command{
		Use:   "keys",
		Short: "Create the keys with which the VMs of a group authenticate each other",
		Long: `Create the keys with which the VMs of a group authenticate each other, for
operators who have no certificate authority of their own.

Do not store ca-key.pem on the VMs: whoever has it can issue certificates for VMs
of the group. A VM needs ca.pem, its own certificate and its own key; see [tls] in
its settings.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(newKeysCACommand(p), newKeysVMCommand(p))
	return c
}

func newKeysCACommand(p *printer) *cobra.Command {
	var group string
	c := &cobra.Command{
		Use:   "ca --group NAME DIR",
		Short: "Create the certificate authority of a group",
		Long: `Create the certificate authority of a group: DIR/ca.pem and DIR/ca-key.pem. It is
valid for ten years and only for this group. Existing files are not overwritten.`,
		Example: "  laburnumhollow keys ca --group hokkaido keys",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := checkName(group); err != nil {
				return err
			}
			authority, err := lhkey.NewAuthority(group, time.Now())
			if err != nil {
				return err
			}
			pair, err := authority.KeyPair()
			if err != nil {
				return err
			}
			return saveKeys(p, pair, args[0], lhkey.AuthorityName)
		},
	}
	addGroupFlag(c, &group)
	return c
}

func newKeysVMCommand(p *printer) *cobra.Command {
	var vm lhkey.VM
	var addresses []string
	var out string
	c := &cobra.Command{
		Use:   "vm --group NAME --name VM --address IP... DIR",
		Short: "Create the certificate and key of a VM",
		Long: `Create the certificate and key of a VM, signed by the authority in DIR: DIR/VM.pem
and DIR/VM-key.pem. The certificate is valid for a year. Existing files are not
overwritten; use --out to write the keys that replace older ones to another folder.`,
		Example: "  laburnumhollow keys vm --group hokkaido --name sapporo-a-1 --address 10.40.1.11 keys",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := errors.Join(checkName(vm.Group), checkName(vm.Name)); err != nil {
				return err
			}
			if out == "" {
				out = args[0]
			}
			var err error
			if vm.Addresses, err = parseAddresses(addresses); err != nil {
				return err
			}
			authority, err := lhkey.ReadAuthority(args[0])
			if err != nil {
				return err
			}
			pair, err := authority.Issue(vm, time.Now())
			if err != nil {
				return err
			}
			return saveKeys(p, pair, out, vm.Name)
		},
	}
	addGroupFlag(c, &vm.Group)
	c.Flags().StringVar(&vm.Name, "name", "", "name of the VM, as in vm.name of its settings")
	c.Flags().StringSliceVar(&addresses, "address", nil, "IP addresses at which operators connect to the VM")
	c.Flags().StringVar(&out, "out", "", "folder for the new files; DIR if not set")
	requireFlag(c, "name")
	requireFlag(c, "address")
	return c
}

func addGroupFlag(c *cobra.Command, group *string) {
	c.Flags().StringVar(group, "group", "", "name of the group, as in vm.group of the settings")
	requireFlag(c, "group")
}

// checkName returns a usage error for a name that is not valid in settings.
func checkName(name string) error {
	if lhconf.IsName(name) {
		return nil
	}
	return lhcode.Newf(lhcode.Usage, "%q is not a valid name: want lower-case letters, digits and inner hyphens", name)
}

func parseAddresses(texts []string) ([]netip.Addr, error) {
	var list []netip.Addr
	for _, text := range texts {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return nil, lhcode.Wrap(lhcode.Usage, err, "parse --address")
		}
		list = append(list, address)
	}
	return list, nil
}

// saveKeys writes a certificate and its key to files and prints their paths.
func saveKeys(p *printer, pair lhkey.KeyPair, dir, name string) error {
	if err := pair.Save(dir, name); err != nil {
		return err
	}
	files := lhkey.FilesIn(dir, name)
	result := keysResult{Certificate: files.Certificate, Key: files.Key}
	return p.printResult(result, func(w io.Writer) {
		fmt.Fprintf(w, "certificate\t%s\nkey\t%s\n", result.Certificate, result.Key)
	})
}
