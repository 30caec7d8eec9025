#!/bin/sh
# Checks the formatting and runs the linters on the whole tree. The tools are declared
# in a separate module, so that they are not dependencies of the project.
set -eu
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -C tools -o "$tools/" tool
unformatted=$("$tools/goimports" -local github.com/chiveyoke/chiveyoke -l cmd internal platform)
if [ -n "$unformatted" ]; then
	echo "goimports would change: $unformatted" >&2
	exit 1
fi
go vet ./...
"$tools/staticcheck" ./...
"$tools/errcheck" ./...
"$tools/revive" -config tools/revive.toml -set_exit_status ./...
echo "lint: clean"
