#!/usr/bin/env bash
# What a proxy says of settings that only the program can tell to be wrong: key, remedy and a status that is not 0; and that it
# takes those that are right.
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

# refused SETTING WORDS...: it is not taken, and each of the words is said.
refused() {
    local setting=$1 status=0 said wanted
    shift
    said=$("$proxy" --settings "$work/settings" --check --set "$setting" 2>&1) || status=$?
    [ "$status" != 0 ] || { echo "taken: $setting" >&2; exit 1; }
    for wanted in "$@"; do
        grep -qF -- "$wanted" <<<"$said" || { printf 'not said of %s: %s\n%s\n' "$setting" "$wanted" "$said" >&2; exit 1; }
    done
}

refused decisions.without=houses "'decisions.without'" "'houses' is no mechanism" "homes, "

# The log.
"$proxy" --settings "$work/settings" --check --set log.level=warning --set log.file="$work/log" --set log.queueKb=8
[ ! -e "$work/log" ] || { echo "a check has made the log's file" >&2; exit 1; }
refused log.level=loud "'log.level' is 'loud'" "give info, warning or error"
refused log.file="$work/none/log" "'log.file'" "there is no folder '$work/none'" "make it"
refused log.file="$work" "'log.file'" "that is a folder: name a file in it"
refused log.file=/proc/self/none/log "'log.file'" "make it"
refused log.queueKb=0 "'log.queueKb' is 0" "give 4 to 65536 KB"
# A disk without room, and a folder that may not be written: /proc is the one for root, the other for others.
remedy="permit it"
[ "$(id -u)" != 0 ] || remedy="make room"
refused log.file=/proc/log "'log.file'" "$remedy"
