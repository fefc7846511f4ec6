#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use Go's standard library alone.
set -euo pipefail
cd "$(dirname "$0")/testdata/standins"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../bin/ ./...
