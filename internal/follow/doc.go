// Package follow keeps the newest value of one key of the store and never goes back to an older one.
package follow
