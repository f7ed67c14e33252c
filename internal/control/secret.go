package control

import (
	"crypto/subtle"

	"github.com/valyala/fasthttp"
)

// HasSecret reports whether a request carries the secret that the processes share, in a time that does not tell of it.
func HasSecret(request *fasthttp.Request, secret string) bool {
	return subtle.ConstantTimeCompare(request.Header.Peek(HeaderSecret), []byte(secret)) == 1
}
