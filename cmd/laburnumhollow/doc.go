// Command laburnumhollow is a layer-4 load balancer and its operators' tool.
//
// One command, entry, is the load balancer: it runs on each entry VM until it is
// told to stop. The others run on an operator's machine. They work on a folder of
// configuration files, on the platform's key-value service, which holds the
// configuration in force, and on the operators' addresses of entry processes.
//
// Each command prints a readable text, or with -o json one JSON value that scripts
// can rely on. It ends with one of the exit codes in exit.go; a fault is printed
// with its result code, which docs/CODES.md explains.
package main
