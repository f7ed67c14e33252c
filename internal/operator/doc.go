// Package operator is the command line of saffronpulley: it shows and edits the
// operators' table and shows what the system does.
package operator
