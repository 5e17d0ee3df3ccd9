//go:build cherryramp_older

package statemachine

// Version is the one before the newest: a build with the tag cherryramp_older is the
// older one in tests of fleets of two builds.
const Version = 1
