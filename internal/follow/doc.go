// Package follow watches keys of the store and keeps the newest value of each, never replacing it by an older one.
package follow
