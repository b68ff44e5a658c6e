#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/6 on. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/testdata/newsettings ./review/testdata/backlog ./review/testdata/longping \
  ./review/testdata/lateconnection
