// Command damaskport routes language-model traffic under service levels and priorities.
package main

import (
	"os"

	"github.com/damaskport/damaskport/internal/cli/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
