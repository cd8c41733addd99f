package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"sardinefront.dev/fleet/peer"
)

// keysValid is how long development keys are valid.
const devKeyValidity = 90 * 24 * time.Hour

func keysCommand() command {
	dir, names := "keys", ""
	sub := flaggy.NewSubcommand("keys")
	sub.Description = "Writes an authority and keys for hosts and operators, for trials."
	sub.String(&dir, "d", "directory", "where the PEM files go; an authority that is there already signs")
	sub.AddPositionalValue(&names, "names", 1, true, "comma-separated names of hosts and operators")
	return command{sub: sub, run: func(e *env) error {
		files, err := peer.WriteDevKeys(dir, devKeyValidity, strings.Split(names, ",")...)
		if err != nil {
			return err
		}
		for _, name := range strings.Split(names, ",") {
			fmt.Fprintf(e.out, "%s\t%s\t%s\n", name, files[name].Cert, files[name].Key)
		}
		return nil
	}}
}
