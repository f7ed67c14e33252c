// Command soak runs real processes under faults, on the stand-in of the users' platform seed after seed, or on the product's
// own interface at today's sizes, and tells what was broken.
package main
