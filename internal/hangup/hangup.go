package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives SIGHUP from the initialization of this package on, since that of other packages takes as long as the start of the runtime.
var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel that receives SIGHUP. It is never closed, and the default action is never restored: a process that stops still serves
// callers.
func Signals() <-chan os.Signal { return signals }
