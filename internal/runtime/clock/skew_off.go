//go:build !clockskew

package clock

// skew returns the offset added to the wall clock: always zero in builds without the tag
// clockskew, which only tests use.
func skew() Millis { return 0 }
