// Wirehost runs any number of controllers for the simulator: it reads batches of events in the protocol of package
// simwire from standard input and writes one reply for each to standard output. The controllers share no state, except
// for the endpoint lists that the simulator registers.
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
