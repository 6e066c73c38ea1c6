// Package e2e proves promises against the real programs with real signals and
// sockets. It has only tests.
package e2e
