// Command saffronpulleyd is the daemon of saffronpulley.
package main
