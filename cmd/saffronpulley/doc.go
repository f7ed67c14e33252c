// Command saffronpulley is the operators' command line of saffronpulley.
package main
