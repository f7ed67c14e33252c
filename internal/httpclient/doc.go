// Package httpclient creates HTTP clients that never repeat a request on their own and distinguish a request that was not sent from a
// lost answer.
package httpclient
