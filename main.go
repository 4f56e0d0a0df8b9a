// Rattanstream is a database proxy with session consistency. See README.md.
package main

import (
	"os"

	"github.com/rattanstream/rattanstream/internal/cmd/rattancmd"
)

func main() {
	os.Exit(rattancmd.Main())
}
