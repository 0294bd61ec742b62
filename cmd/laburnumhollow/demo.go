package main

import (
	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/spf13/cobra"
)

func newDemoCommand(*printer) *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run the whole path in one process and show a planned change",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return lhcode.New(lhcode.Internal, "demo is not built in")
		},
	}
}
