// Package judge compares two versions.
package judge
