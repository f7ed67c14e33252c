// Package operator implements the command line of saffronpulley: it shows and edits
// the operators' table and shows the state of the system.
package operator
