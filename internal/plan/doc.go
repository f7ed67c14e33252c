// Package plan decides which waiting tasks go to which workers. It uses no clock, socket or random source.
package plan
