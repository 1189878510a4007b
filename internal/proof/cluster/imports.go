package cluster

// The programs are built from these packages. Their import makes the test
// cache notice when the programs change.
import (
	_ "github.com/damaskport/damaskport/internal/cli/commands"
	_ "github.com/damaskport/damaskport/internal/cli/standins"
)
