#!/usr/bin/env bash
# The scenarios of LDAP against OpenLDAP's own server and tools, through the daemon, without root. Skipped (77) where
# slapd or its tools are not installed.
#   slapd_test.sh WHINLEDGE
set -euo pipefail
whinledge=$1
export PATH=$PATH:/usr/sbin:/usr/local/sbin
for tool in slapd slapadd ldapsearch ldapmodify ldapwhoami ldapcompare ldapdelete ldapmodrdn; do
    command -v "$tool" >/dev/null || { echo "skipped: no $tool"; exit 77; }
done
modules=$(ls -d /usr/lib/ldap /usr/lib*/openldap /usr/libexec/openldap 2>/dev/null | head -1 || true)
schema=$(ls -d /etc/ldap/schema /etc/openldap/schema 2>/dev/null | head -1 || true)
[ -n "$schema" ] || { echo "skipped: no schema"; exit 77; }

work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

base=dc=example,dc=org
cat >"$work/data.ldif" <<LDIF
dn: $base
objectClass: domain
dc: example

dn: ou=people,$base
objectClass: organizationalUnit
ou: people

dn: cn=service,$base
objectClass: applicationProcess
objectClass: simpleSecurityObject
cn: service
userPassword: service
authzTo: dn.regex:^uid=[^,]+,ou=people,dc=example,dc=org$

LDIF
for name in anna berta carla dora emil; do
    cat >>"$work/data.ldif" <<LDIF
dn: uid=$name,ou=people,$base
objectClass: inetOrgPerson
uid: $name
cn: $name
sn: $name
userPassword: $name-secret

LDIF
done

port() { echo $((10000 + ($$ * 7 + $1) % 20000)); }
server() {
    local number=$1 dir=$work/slapd$1
    mkdir -p "$dir/db"
    {
        for s in core cosine inetorgperson; do echo "include $schema/$s.schema"; done
        [ -z "$modules" ] || { echo "modulepath $modules"; ls "$modules" | grep -q '^back_mdb' && echo "moduleload back_mdb"; }
        echo "pidfile $dir/pid"
        echo "authz-policy to"
        echo "database mdb"
        echo "maxsize 10485760"
        echo "suffix $base"
        echo "rootdn cn=root,$base"
        echo "rootpw root"
        echo "directory $dir/db"
        echo "access to attrs=userPassword by self write by anonymous auth by * none"
        echo "access to * by self write by * read"
    } >"$dir/slapd.conf"
    slapadd -q -f "$dir/slapd.conf" -l "$work/data.ldif"
    slapd -f "$dir/slapd.conf" -h "ldap://127.0.0.1:$(port "$number")" -d 0 >"$dir/log" 2>&1 &
    pids+=($!)
    for _ in $(seq 200); do
        ldapsearch -x -H "ldap://127.0.0.1:$(port "$number")" -b "" -s base >/dev/null 2>&1 && return
        sleep 0.05
    done
    echo "slapd does not come up"
    cat "$dir/log"
    exit 1
}
server 1
server 2
echo service >"$work/password"
file() {
    cat <<TOML
[[listener]]
name = "edge"
profile = "ldap"
address = "127.0.0.1:$1"
[pool.people]
protocol = "ldap"
[pool.people.ldap]
$2
[pool.people.members]
source = "list"
list = ["127.0.0.1:$(port 1)", "127.0.0.1:$(port 2)"]
[[ldap_route]]
name = "all"
pool = "people"
handling = { timeout = "2s" }
TOML
}
file "$(port 3)" 'identity = "connection"' >"$work/connection.toml"
file "$(port 4)" "identity = \"proxied\"
service = \"cn=service,$base\"
password_file = \"$work/password\"" >"$work/proxied.toml"

failed=0
is() { # what, wanted, got
    if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: wanted '$2', got '$3'"; failed=1; fi
}
code() { local status=0; "$@" >"$work/out" 2>&1 || status=$?; echo $status; }

for mode in connection proxied; do
    "$whinledge" --config "$work/$mode.toml" 2>"$work/$mode.log" &
    pids+=($!)
    number=3
    [ "$mode" = connection ] || number=4
    url=ldap://127.0.0.1:$(port $number)
    for _ in $(seq 200); do
        ldapsearch -x -H "$url" -b "$base" -s base >/dev/null 2>&1 && break
        sleep 0.05
    done
    as=(-x -H "$url" -D "uid=anna,ou=people,$base" -w anna-secret)
    echo "== $mode"
    is "a search as nobody" 5 "$(ldapsearch -x -LLL -H "$url" -b "ou=people,$base" '(uid=*)' dn | grep -c '^dn:')"
    is "who one is" "dn:uid=anna,ou=people,$base" "$(ldapwhoami "${as[@]}")"
    is "who nobody is" "anonymous" "$(ldapwhoami -x -H "$url")"
    is "a wrong password" 49 "$(code ldapwhoami -x -H "$url" -D "uid=anna,ou=people,$base" -w wrong)"
    is "nothing there" 32 "$(code ldapsearch -x -H "$url" -b "ou=nowhere,$base")"
    is "a comparison that holds" 6 "$(code ldapcompare "${as[@]}" "uid=anna,ou=people,$base" sn:anna)"
    is "a comparison that does not" 5 "$(code ldapcompare "${as[@]}" "uid=anna,ou=people,$base" sn:berta)"
    printf 'dn: uid=anna,ou=people,%s\nchangetype: modify\nreplace: description\ndescription: %s\n' "$base" "$mode" >"$work/change"
    is "a change of one's own" 0 "$(code ldapmodify "${as[@]}" -f "$work/change")"
    changed=0
    for n in 1 2; do
        ldapsearch -x -LLL -H "ldap://127.0.0.1:$(port $n)" -b "uid=anna,ou=people,$base" description |
            grep -q "^description: $mode" && changed=$((changed + 1)) || true
    done
    is "at one server, once" 1 "$changed"
    printf 'dn: uid=berta,ou=people,%s\nchangetype: modify\nreplace: description\ndescription: x\n' "$base" >"$work/change"
    is "a change of another's is not permitted" 50 "$(code ldapmodify "${as[@]}" -f "$work/change")"
    is "a deletion is not either" 50 "$(code ldapdelete "${as[@]}" "uid=berta,ou=people,$base")"
    is "nor a new name" 50 "$(code ldapmodrdn "${as[@]}" "uid=berta,ou=people,$base" uid=b)"
    is "pages of two" 5 "$(ldapsearch "${as[@]}" -LLL -E pr=2/noprompt -b "ou=people,$base" '(uid=*)' dn | grep -c '^dn:')"
    # One server frozen: after the first few that met it, nobody notices.
    kill -STOP "${pids[0]}"
    for _ in $(seq 12); do ldapsearch -x -H "$url" -o nettimeout=5 -b "ou=people,$base" -s base >/dev/null 2>&1 || true; done
    good=0
    for _ in $(seq 10); do
        ldapsearch -x -H "$url" -o nettimeout=5 -b "ou=people,$base" -s base >/dev/null 2>&1 && good=$((good + 1)) || true
    done
    kill -CONT "${pids[0]}"
    [ "$good" -ge 9 ] && good=enough
    is "lookups with a frozen server" enough "$good"
    pid=${pids[-1]}
    unset 'pids[-1]'
    kill "$pid"
    status=0
    wait "$pid" || status=$?
    is "it ends in good order" 0 "$status"
done
exit $failed
