// Package world is a model of a deployment that fronts serve: branches with cache
// nodes, district caches (parents) at hubs, the head office store, a register that
// announces servers and purges with a delay, clients that retry, and the links between
// them. The gateway, its connection protocol and the rules are the product's own code;
// none of them is modelled.
//
// A world runs in one of two modes, which differ only in how a front's program runs
// and in the front's end of its connections (program, frontEnd). In virtual time
// everything runs on one loop whose clock advances only when no work is left, and all
// randomness comes from one seed, so the same world gives the same history, byte for
// byte. On sockets (NewOnSockets) the fronts are processes of the built program and
// time is the system's. Neither mode has load reports, which the front does not read.
//
// Numbers without a stated source are the middle of the ranges on the operators' page
// about their site (BRIEF).
package world
