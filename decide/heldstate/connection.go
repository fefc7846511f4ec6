package heldstate

// Connection is the number of one connection to an engine. A process never gives a number twice, so
// that what is known of one connection can't be taken for knowledge of another.
type Connection uint64
