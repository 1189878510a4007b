package memory

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// dataLimit returns the system's limit on the process's data in bytes; 0 if there is none.
func dataLimit() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_DATA, &l); err != nil || l.Cur > math.MaxInt64 {
		return 0
	}
	return int64(l.Cur)
}

// groupLimit returns the limit on the memory of the process's control group in bytes; 0 if there is none.
func groupLimit() int64 {
	group := field("/proc/self/cgroup", "0::")
	text, err := os.ReadFile(filepath.Join("/sys/fs/cgroup", group, "memory.max"))
	if err != nil {
		return 0
	}
	n, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64) // "max" is no limit
	return n
}

// data returns the bytes that a limit on data counts: private memory that can be written to; 0 if that is
// not known.
func data() int64 {
	text := field("/proc/self/status", "VmData:")
	kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
	return kb << 10
}

// field returns the rest of the line of a file that begins with prefix; empty if there is none.
func field(path, prefix string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, prefix); ok {
			return strings.TrimSpace(rest)
		}
	}
	return ""
}
