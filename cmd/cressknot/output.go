package main

import (
	"fmt"
	"io"
)

// printf writes formatted text to a command's output. It ignores write errors, since there is no other output on which
// to report them.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

// printLine writes values and a line break to a command's output. It ignores write errors like printf.
func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}
