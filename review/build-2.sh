#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off go build -trimpath -o bin/stand-2 .
