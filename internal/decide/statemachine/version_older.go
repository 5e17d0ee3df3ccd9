//go:build cherryramp_older

package statemachine

// Version is the newest version that a build with the tag cherryramp_older reads: it is
// the older build in tests of fleets with two builds.
const Version = 1
