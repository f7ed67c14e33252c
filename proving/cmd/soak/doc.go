// Command soak runs real processes under faults and reports violations: on the stand-in for the users' platform, one seed
// after another, or on the product's own interface at the users' current size.
package main
