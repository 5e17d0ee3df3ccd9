// Package world is the project's own model of what a front serves: branches with
// cache nodes, district caches at hubs, the head office store, a register that tells
// late, clients that come back, and links between them all.
// The gateway, its connections' protocol and the rules are the product's own, as
// built; nothing of them is modelled.
//
// It has two bodies, which differ in a front's program and the far end of its
// connections alone (program, farEnd). In virtual time everything runs on one loop
// whose clock only moves when all is done, and all chance comes from one seed, so
// the same world gives the same history, byte for byte. On sockets (NewOnSockets) the
// fronts are the built program, and time is the system's. Neither has load reports,
// which the front does not read.
//
// Figures without a source are the operators' page on their site (BRIEF), in the
// middle of its ranges.
package world
