// Package httpclient makes the HTTP clients of the adapters, which never send a
// request twice on their own and tell a request not sent from an answer lost.
package httpclient
