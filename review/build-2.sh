#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the standard library alone. The project's own programs are
# built before by the command of the deploy file; no case starts another program of the project.
set -euo pipefail
cd "$(dirname "$0")/standins-2/testdata"
mkdir -p bin
GOPROXY=off GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o bin/ ./case*
