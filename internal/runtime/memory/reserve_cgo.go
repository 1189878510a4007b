//go:build cgo && linux && !race

package memory

/*
#define _GNU_SOURCE
#include <malloc.h>
#include <pthread.h>

// The Go runtime creates its threads with the C library's default attributes. A limit on data counts the
// whole stack of a thread, of which Go code uses nothing.
__attribute__((constructor)) static void reserveLess(void) {
#ifdef __GLIBC__
	pthread_attr_t attr;
	if (pthread_getattr_default_np(&attr) == 0) {
		if (pthread_attr_setstacksize(&attr, 256 << 10) == 0) {
			pthread_setattr_default_np(&attr);
		}
		pthread_attr_destroy(&attr);
	}
	mallopt(M_ARENA_MAX, 1);
#endif
}
*/
import "C"
