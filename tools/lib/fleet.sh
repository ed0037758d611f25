# Starts stand-ins and daemons on loopback for the scripts that need a fleet; sourced by bash, not run. All that is
# started here, and nothing else, is ended by finish.
#
# Sets: bin, work, pids, callers, operators, siblings, control, primary_port, store, operator_secret.

bin=${CYCLAMENDRIFT_BUILD:-$PWD/build}
work=$(mktemp -d)
declare -A pids=() callers=() operators=() siblings=() control=() primary_port=()
vms=()
operator_secret=$(head -c 24 /dev/urandom | base64 | tr -d '/+=')
sibling_secret=$(head -c 24 /dev/urandom | base64 | tr -d '/+=')
echo "$operator_secret" >"$work/operator.secret"

finish() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    [ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
    rm -rf "$work"
}
trap finish EXIT

milliseconds() { date +%s%3N; }

# Waits up to $1 seconds until the command that follows succeeds.
wait_until() {
    local limit=$(($(milliseconds) + $1 * 1000))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(milliseconds)" -lt "$limit" ] || return 1
        sleep 0.1
    done
}

# Sets port to one that nothing listens on now.
next_port=$((20000 + RANDOM % 20000))
free_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do next_port=$((next_port + 1)); done
    port=$next_port
    next_port=$((next_port + 1))
}

# field NAME: the value of a field in one line of JSON on standard input.
field() { sed -n "s/.*\"$1\" *: *\"\{0,1\}\([^,\"}]*\).*/\1/p" | head -1; }

start_store() {
    free_port; store=$port
    "$bin/standins/standin_store" --port "$store" >"$work/store.log" 2>&1 &
    pids[store]=$!
    wait_until 10 curl -sf "http://127.0.0.1:$store/control/calls"
}

# start_group DATABASE: a group of three slots; prints its part of a schema file.
start_group() {
    local a b c
    free_port; a=$port
    free_port; b=$port
    free_port; c=$port
    free_port; control[$1]=$port
    primary_port[$1]=$a
    "$bin/standins/standin_postgres" --slots "a=$a,b=$b,c=$c" --control-port "${control[$1]}" \
        --max-connections 20 --connect-delay-ms 10 --lag-ms "${LAG_MS:-5}" >"$work/$1.log" 2>&1 &
    pids[$1]=$!
    cat >>"$work/databases.textproto" <<SCHEMA
  databases { name: "$1" connection_cap: 20
    slots { name: "a" address: "127.0.0.1" port: $a availability_zone: "palermo" }
    slots { name: "b" address: "127.0.0.1" port: $b availability_zone: "catania" }
    slots { name: "c" address: "127.0.0.1" port: $c availability_zone: "messina" } }
SCHEMA
}

# add_vm NAME ZONE: gives a VM its ports and writes its settings.
add_vm() {
    vms+=("$1")
    free_port; callers[$1]=$port
    free_port; operators[$1]=$port
    free_port; siblings[$1]=$port
    cat >"$work/$1.toml" <<SETTINGS
[vm]
name = "$1"
availability_zone = "$2"
[callers]
address = "127.0.0.1"
port = ${callers[$1]}
max_connections = 20000
[operators]
address = "127.0.0.1"
port = ${operators[$1]}
secret = "$operator_secret"
[siblings]
address = "127.0.0.1"
port = ${siblings[$1]}
secret = "$sibling_secret"
[platform]
store_url = "http://127.0.0.1:$store"
vm_list_url = "http://127.0.0.1:$store/vms"
[upstreams]
user = "cyclamendrift"
password = "loopback"
[shutdown]
drain_timeout_ms = 20000
[log]
file = "-"
SETTINGS
    printf '%s{"name":"%s","availability_zone":"%s","address":"127.0.0.1","port":%s}\n' \
        "$([ ${#vms[@]} -gt 1 ] && echo ,)" "$1" "$2" "${siblings[$1]}" >>"$work/vms.json"
}

publish_vms() { curl -sf -X POST --data "[$(cat "$work/vms.json")]" "http://127.0.0.1:$store/control/vms" >/dev/null; }

# start_vm NAME: starts its daemon and waits until it answers.
start_vm() {
    "$bin/daemons/cyclamendriftd" --config "$work/$1.toml" >"$work/$1.log" 2>&1 &
    pids[$1]=$!
    wait_until 15 curl -sf "http://127.0.0.1:${callers[$1]}/healthz"
}

# ctl VM ARGUMENT...: cyclamendriftctl against one VM.
ctl() {
    local vm=$1
    shift
    "$bin/daemons/cyclamendriftctl" --endpoint "http://127.0.0.1:${operators[$vm]}" \
        --secret-file "$work/operator.secret" "$@"
}

# execute VM JSON KEY: one statement through this VM; prints the body and the status code on one line.
execute() {
    curl -s -m 15 -w ' %{http_code}\n' -X POST -H "Authorization: Bearer $3" -H 'Content-Type: application/json' \
        --data "$2" "http://127.0.0.1:${callers[$1]}/cyclamendrift.api.Statements/Execute"
}

# statement ID REST TOKEN DATABASE: the JSON of one statement.
statement() {
    echo "{\"requestId\":\"$1\",\"service\":\"register\",\"database\":\"$4\",\"sessionToken\":\"$3\",$2}"
}

# create_table VM DATABASE KEY: the table that the load callers use.
create_table() {
    execute "$1" "$(statement "create-$2" '"statement":"CREATE TABLE IF NOT EXISTS reservations (bed text PRIMARY KEY)","write":{"idempotent":true}' '' "$2")" "$3" | grep -q ' 200$'
}
