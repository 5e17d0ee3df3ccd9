package main_test

import "golang.org/x/sys/unix"

// pollCalls are the calls by which a process waits for a few descriptors.
var pollCalls = []int{unix.SYS_POLL, unix.SYS_PPOLL}
