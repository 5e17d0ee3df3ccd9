package main_test

import "golang.org/x/sys/unix"

// pollCalls are the calls by which a process waits for a few descriptors. arm64 has no poll.
var pollCalls = []int{unix.SYS_PPOLL}
