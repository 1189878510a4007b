// Package memory keeps the memory of a process within what its machine lets it have.
//
// A machine may count resident memory, or reserved memory, as a limit on data (RLIMIT_DATA) does:
// all private memory that can be written to, whether it is used or not. In a program with C code, each thread
// reserves a stack of 256 KB in place of the system's default, 8 MB on most systems.
package memory
