#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. It needs only the Go toolchain and
# no network: the stand-ins use the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/bin/review-standin2 .
