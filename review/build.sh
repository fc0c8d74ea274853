#!/usr/bin/env bash
# Builds what the scripts of the cases start. Their stand-ins are plain JavaScript and need no build; the gateway is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/fescuewick-gateway.js ]; then
	bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
for file in review/stand-ins/*.js review/[0-9]/*.js; do
	node --check "$file"
done
