// Package record names the keys that saffronpulley keeps in the store and encodes the small ones.
package record
