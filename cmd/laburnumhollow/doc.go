// Command laburnumhollow is a layer-4 load balancer and its operators' tool.
//
// The commands entry and marked are the load balancer: one of them runs on each entry
// VM until it receives a signal to stop. The others run on an operator's machine. They
// read and write a folder of configuration files and the platform's key-value service,
// which stores the configuration in force, and query the operations API of entry
// processes.
//
// Each command prints human-readable text, or with -o json a single JSON value with a
// stable format for scripts. It exits with one of the codes in exit.go. An error is
// printed with its result code; docs/CODES.md documents the result codes.
package main
