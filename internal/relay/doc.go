// Package relay calls the store through another entry while the store does not answer this process.
package relay
