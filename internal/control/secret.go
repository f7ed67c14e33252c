package control

import (
	"crypto/subtle"

	"github.com/valyala/fasthttp"
)

// HasSecret reports whether a request carries the secret that the processes share; the comparison takes constant time.
func HasSecret(request *fasthttp.Request, secret string) bool {
	return subtle.ConstantTimeCompare(request.Header.Peek(HeaderSecret), []byte(secret)) == 1
}
