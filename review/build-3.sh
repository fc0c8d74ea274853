#!/usr/bin/env bash
# Checks the stand-ins of cases 11 to 15. They are plain JavaScript without dependencies; the cases start nothing else but the gateway that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.js 1[1-5]/*.js; do
	node --check "$file"
done
