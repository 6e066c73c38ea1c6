// Package e2e holds end-to-end tests. They start the real programs, send them real
// signals and connect to them over real sockets.
package e2e
