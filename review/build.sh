#!/bin/sh
# Builds the programs that the scripts of the cases start, beside those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-restore ./review/standin/restore
