//go:build !linux

package memory

func dataLimit() int64  { return 0 }
func groupLimit() int64 { return 0 }
func data() int64       { return 0 }
