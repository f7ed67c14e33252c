// Package pacing decides the pace of best-effort tasks beside serving tasks on a worker. It has no side effects.
package pacing
