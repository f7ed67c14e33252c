// Package admission decides which requests a replica runs, which wait and which are refused, and computes the retry
// delay of refused requests.
package admission
