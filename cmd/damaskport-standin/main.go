// Command damaskport-standin runs stand-ins of the platform and of backend
// servers, for tests and trials.
package main

import (
	"os"

	"github.com/damaskport/damaskport/internal/cli/standins"
)

func main() {
	os.Exit(standins.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
