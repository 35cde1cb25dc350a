#!/usr/bin/env bash
# What the fleet costs a sidecar's requests: two daemons with one file and one load, side by side for the whole run, the
# second one a member of a fleet whose others are processes without load. Prints for each round CPU time of a request and
# the p99 of both, then the medians and their ratio; at the end the CPU time a second of an idle member.
# With LIMIT=RATE its requests pass a limit of that rate besides, which has to be far above RATE / MEMBERS.
#   bench/fleet_cost.sh BUILD [ROUNDS] [SECONDS] [MEMBERS]
set -euo pipefail
build=$(cd "$1" && pwd); rounds=${2:-5}; seconds=${3:-10}; members=${4:-7}; rate=${RATE:-500}; period=${PERIOD:-1s}
work=$(mktemp -d); children=()
finish() { for child in "${children[@]}"; do kill "$child" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap finish EXIT

"$build/whinledge_standin" --listen 127.0.0.1:23101 --name one --latency 5ms --jitter 1ms >/dev/null 2>&1 &
children+=($!)
services() {  # listener's port
    printf '[[listener]]\nname = "edge"\naddress = "127.0.0.1:%s"\n[pool.a.members]\nsource = "list"\n' "$1"
    printf 'list = ["127.0.0.1:23101"]\n[[route]]\nname = "a"\npool = "a"\n'
}
fleet() {  # self
    printf '[fleet]\nname = "cost"\nself = "s%s"\ncontrol = "%s/s%s.sock"\nprobe_period = "%s"\n' "$1" "$work" "$1" "$period"
    local i
    for i in $(seq "$members"); do
        printf '[[fleet.member]]\nname = "s%s"\naddress = "127.0.0.1:%s"\n' "$i" $((23200 + i))
    done
    [ -z "${LIMIT:-}" ] || printf '[[fleet.limit]]\nname = "l"\npool = "a"\nrate = %s\nburst = 1000\n' "$LIMIT"
}
start() {  # name
    "$build/whinledge" --config "$work/$1.toml" 2>"$work/$1.log" &
    children+=($!)
    eval "pid_$1=$!"
}
services 23000 >"$work/off.toml"; start off
for i in $(seq "$members"); do
    { services $((23000 + i)); fleet "$i"; } >"$work/s$i.toml"
    start "s$i"
done
until "$build/whinledge" fleet members --socket "$work/s1.sock" --json 2>/dev/null | grep -q '"standing":"joined"'; do sleep 0.2; done
[ -z "${LIMIT:-}" ] || sleep 5  # a member that starts uses nothing of its own for a lease

cpu_ns() { awk '{print $1}' "/proc/$1/schedstat"; }
probe() { "$build/whinledge_probe" --to "127.0.0.1:$1" --rate "$rate" --seconds "$seconds" --json /x >"$2"; }
p99() { grep -A5 '"latency_ms"' "$1" | grep -o '"p99": [0-9.]*' | grep -o '[0-9.]*$'; }
for round in $(seq "$rounds"); do
    off_before=$(cpu_ns "$pid_off"); on_before=$(cpu_ns "$pid_s1"); idle_before=$(cpu_ns "$pid_s2")
    probe 23000 "$work/off.json" & a=$!
    probe 23001 "$work/on.json" & b=$!
    wait "$a" "$b"
    off_cpu=$(($(cpu_ns "$pid_off") - off_before)); on_cpu=$(($(cpu_ns "$pid_s1") - on_before))
    idle=$(($(cpu_ns "$pid_s2") - idle_before))
    echo "$off_cpu $on_cpu $idle $(p99 "$work/off.json") $(p99 "$work/on.json")" >>"$work/rounds"
    awk -v n=$((rate * seconds)) -v s="$seconds" -v r="$round" 'END { printf "round %d: CPU us a request off %.2f, on %.2f; p99 ms off %s, on %s; idle member %.3f ms a second\n", r, $1/n/1e3, $2/n/1e3, $4, $5, $3/s/1e6 }' "$work/rounds"
done
median() { awk -v c="$1" '{print $c}' "$work/rounds" | sort -n | awk '{v[NR]=$1} END {print NR % 2 ? v[(NR+1)/2] : (v[NR/2]+v[NR/2+1])/2}'; }
awk -v a="$(median 1)" -v b="$(median 2)" -v c="$(median 4)" -v d="$(median 5)" -v i="$(median 3)" -v s="$seconds" \
    'BEGIN { printf "medians: CPU on/off %.3f, p99 on/off %.3f, idle member %.3f ms CPU a second\n", b/a, d/c, i/s/1e6 }'
