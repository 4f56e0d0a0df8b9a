#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rattanstream ] || [ ! -x target/rattanreview ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
exec target/rattanreview --record "review/1/record.txt" oldprimary
