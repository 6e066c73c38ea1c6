// Package peerpb holds the generated messages and calls of the protocol
// between entry hosts.
package peerpb
