package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticks is how many of the kernel's ticks are a second, for processes' times
// (proc(5); 100 on every Linux that Go runs on).
const ticksPerSecond = 100

// cpu is the time that a process has spent on cores.
func processCPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// What stands behind the name, which may hold anything in parentheses.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var sum int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * time.Second / ticksPerSecond, nil
}
