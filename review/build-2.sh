#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Run from anywhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/scenario/bin
go build -tags review2 -o review/scenario/bin/scenario ./review/scenario
