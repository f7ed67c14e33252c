// Package record defines the keys of saffronpulley in the store and encodes the records of the leader and of its last commit.
package record
