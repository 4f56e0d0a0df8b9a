#!/usr/bin/env bash
# Builds the stand-ins and clients of all scripts. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rattanreview ./review/rattanreview
