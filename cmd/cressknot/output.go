package main

import (
	"fmt"
	"io"
)

// printf writes formatted text to a command's output. A failure to write is not reported: there is no other output.
func printf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}

// printLine writes values and a line break to a command's output, as printf does.
func printLine(out io.Writer, values ...any) {
	_, _ = fmt.Fprintln(out, values...)
}
