#!/bin/bash
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/play ./review/play
