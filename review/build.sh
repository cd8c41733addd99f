#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The entry host is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
