// Command docs writes the pages that are generated from the code: the table's columns, the settings and the error kinds.
package main
