//go:build !race

package main

// memoryOverhead is by how much the build of the tests multiplies the memory of a process.
const memoryOverhead = 1
