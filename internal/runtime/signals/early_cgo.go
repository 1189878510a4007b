//go:build cgo && unix

package signals

/*
#include <signal.h>
#include <stddef.h>

static int inherited;

// The Go runtime keeps a signal ignored that is ignored when it starts.
__attribute__((constructor)) static void ignoreHangup(void) {
	struct sigaction before;
	inherited = sigaction(SIGHUP, NULL, &before) == 0 && before.sa_handler == SIG_IGN;
	signal(SIGHUP, SIG_IGN);
}

static int inheritedIgnore(void) { return inherited; }
*/
import "C"

// inheritedIgnore reports whether the parent process has SIGHUP ignored.
func inheritedIgnore() bool { return C.inheritedIgnore() != 0 }
