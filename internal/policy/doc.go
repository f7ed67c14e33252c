// Package policy holds the operators' configuration of the platform: queues, services and limits.
package policy
