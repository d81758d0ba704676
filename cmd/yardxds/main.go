// Command yardxds speaks xDS for a dispatcher, which starts it and stands at the
// other end of its standard input and output.
package main

import (
	"fmt"
	"os"

	"yardwharf/internal/xdshelper"
)

func main() {
	if err := xdshelper.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "yardxds:", err)
		os.Exit(1)
	}
}
