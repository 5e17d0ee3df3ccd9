// Package decide contains no code. Its subpackages are the program's decision logic
// besides package rules: each takes times and events and returns verdicts or actions.
// None does I/O, reads a clock, starts a goroutine, locks, logs or uses a global
// source of random numbers. A test of their imports and statements enforces that.
package decide
