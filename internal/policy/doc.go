// Package policy holds the operators' configuration as the platform keeps it: queues, services and limits.
package policy
