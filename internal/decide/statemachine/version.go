//go:build !cherryramp_older

package statemachine

// Version is the newest version of the state and its commands that this build reads.
const Version = 3
