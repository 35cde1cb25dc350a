#!/usr/bin/env bash
# tools/compare_builds against a stand-in of the bench that prints reports: its verdicts, and what it says where there is
# no bench. Skipped (77) without a python3 that reads TOML.
#   compare_builds_test.sh TOOL WORK
set -euo pipefail
tool=$1 work=$2
python3 -c 'import tomllib' 2>/dev/null || exit 77
rm -rf "$work"
mkdir -p "$work/before/journal" "$work/after/journal" "$work/kept"

cat >"$work/site.toml" <<'SITE'
[[day]]
name = "busy"
zero = 0.5
one = 1.0
SITE
# fleetbench run SITE DAY --seed N ...: the worth is what the folder's file says, and a little by the seed.
cat >"$work/bench" <<'BENCH'
#!/usr/bin/env bash
worth=$(awk -v base="$(cat worth)" -v seed="$5" 'BEGIN { printf "%.3f", base + (seed % 3) / 1000 }')
echo "day                  own/srv  score  worth served refused failed  weakest part"
echo "busy                   63/56   0.80  $worth  0.989   0.000  0.002  whole day 1.00; prices 0.046"
[ ! -e broken ] || echo "BROKEN: a rule"
touch "journal/20260101T000000-abc$5.json"
echo "snapshot abc$5"
BENCH
chmod +x "$work/bench"

compare() {
    "$tool" --bench "$work/bench" --seeds 1-6 --workers 1 --journal "$work/kept" "$work/site.toml" "$work/before" "$work/after"
}
says() {
    grep -q "$1" <<<"$2" || {
        printf 'not said: %s\n%s\n' "$1" "$2" >&2
        exit 1
    }
}

echo 0.900 >"$work/before/worth"
echo 0.950 >"$work/after/worth"
says '^all .* +0.100 .* better$' "$(compare)"
[ -e "$work/kept/20260101T000000-abc6.json" ] || { echo "the journal's entries were not kept" >&2; exit 1; }
echo 0.850 >"$work/after/worth"
says '^all .* -0.100 .* worse$' "$(compare)"
echo 0.900 >"$work/after/worth"
says "^all .* +0.000 .* can't be told$" "$(compare)"

mkdir -p "$work/worse/journal"
echo 0.850 >"$work/worse/worth"
echo 0.950 >"$work/after/worth"
said=$("$tool" --bench "$work/bench" --seeds 1-6 --workers 1 "$work/site.toml" "$work/before" "$work/after" "$work/worse")
says '^all .* +0.100 .* better$' "$(sed -n '/^after$/,/^worse$/p' <<<"$said")"
says '^all .* -0.100 .* worse$' "$(sed -n '/^worse$/,$p' <<<"$said")"

touch "$work/after/broken"
status=0
said=$(compare) || status=$?
[ "$status" = 1 ] || { echo "a broken rule: status $status" >&2; exit 1; }
says '^bad: busy, seed 6$' "$said"

status=0
"$tool" --bench "$work/nothing" "$work/site.toml" "$work/before" "$work/after" >/dev/null || status=$?
[ "$status" = 77 ] || { echo "no bench: status $status" >&2; exit 1; }
