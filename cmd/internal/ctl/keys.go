package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"sardinefront.dev/fleet/peer"
)

// devKeyValidity is the validity period of development certificates.
const devKeyValidity = 90 * 24 * time.Hour

func keysCommand() command {
	dir, names := "keys", ""
	sub := flaggy.NewSubcommand("keys")
	sub.Description = "Writes a certificate authority and certificates with keys for hosts and operators, for development."
	sub.String(&dir, "d", "directory", "directory of the PEM files; an authority that exists there is reused")
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
