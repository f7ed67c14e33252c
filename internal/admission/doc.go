// Package admission decides which requests a replica runs, which wait and
// which are refused, and tells the refused when to return.
package admission
