// Package world is the project's own model of what a front serves, in virtual
// time: branches with cache nodes, district caches at hubs, the head office store,
// a register that tells late, clients that come back, and links between them all.
// The gateway, its connections' protocol and the rules are the product's own, as
// built; nothing of them is modelled.
//
// Everything runs on one loop whose clock only moves when all is done, and all
// chance comes from one seed, so the same world gives the same history, byte for
// byte. What the model does not have: load reports (the front does not read them),
// the poller and the clients' HTTP, which the tests on sockets have.
//
// Figures without a source are the operators' page on their site (BRIEF), in the
// middle of its ranges.
package world
