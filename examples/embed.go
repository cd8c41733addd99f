// Package examples embeds the rules files of the two example deployments.
package examples

import _ "embed"

// Fjellvarsel is the rules file of the deployment in no-vest.
//
//go:embed fjellvarsel.rules
var Fjellvarsel []byte

// LampuKaca is the rules file of the deployment in my-north.
//
//go:embed lampukaca.rules
var LampuKaca []byte
