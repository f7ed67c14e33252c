// Package hall follows which halls the operators have closed, so that their workers get nothing new.
package hall
