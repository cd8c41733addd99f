// Package member is the membership state machine.
package member
