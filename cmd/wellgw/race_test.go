//go:build race

package main

// memoryOverhead is by how much the race detector multiplies the memory of a process, at least.
const memoryOverhead = 3
