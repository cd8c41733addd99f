// Package rules parses and checks the rules file.
package rules
