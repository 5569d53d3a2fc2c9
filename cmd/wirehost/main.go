// Wirehost runs many controllers on one simulator wire: it reads batches of events from standard input and writes
// one reply for each to standard output. The controllers share nothing.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
