// Package relay stands between processes and lets connections come to grief: cut, silent one way, slow or reset.
package relay
