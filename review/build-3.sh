#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The daemon's binary is that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rattanplay ./review/rattanplay
