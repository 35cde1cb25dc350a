#!/usr/bin/env bash
# What a proxy says of settings that it alone can tell to be wrong: key, remedy and a status that is not 0; and that it takes
# those that are right.
#   bad_settings_test.sh PROXY WORK
set -euo pipefail
proxy=$1 work=$2
mkdir -p "$work"
cat >"$work/settings" <<'SETTINGS'
node=n1
role=proxy
serves=edge
ip=127.0.0.1
zone=north
listenOn.public=127.0.0.1:7301
listenOn.readiness=127.0.0.1:7302
sparePorts=7303,7309
seedNodes=127.0.0.2:7310
firstBoot=true
SETTINGS

"$proxy" --settings "$work/settings" --check --set decisions.without=homes,told-load

status=0
said=$("$proxy" --settings "$work/settings" --check --set decisions.without=houses 2>&1) || status=$?
[ "$status" != 0 ] || { echo "an unknown mechanism was taken" >&2; exit 1; }
for wanted in "'decisions.without'" "'houses' is no mechanism" "homes, "; do
    grep -qF -- "$wanted" <<<"$said" || { printf 'not said: %s\n%s\n' "$wanted" "$said" >&2; exit 1; }
done
