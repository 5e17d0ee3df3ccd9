// Package decide holds no code of its own. The packages below it are the
// program's decisions beside rules: each takes moments and events and gives
// verdicts or actions, and none does I/O, asks a clock, starts a goroutine,
// locks, logs or draws from a global source of random numbers. A test over
// their imports keeps it so.
package decide
