// Command laburnumhollow is a layer-4 load balancer and its operators' tool.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(_ []string) int { return 0 }
