package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of process times in proc(5): 100 on every Linux that Go
// supports.
const ticksPerSecond = 100

// processCPUTime returns the user and system time of a process.
func processCPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// Skip the command name in parentheses, which may itself contain spaces and parentheses.
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
