#!/bin/sh
# Builds the stand-ins of the second review's cases into review/bin, beside the programs of the deploy build.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 6 7 8 9 10; do
	if [ -d "review/$n" ]; then go build -o "review/bin/$n" "./review/$n"; fi
done
