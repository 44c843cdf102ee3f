# A small deployment on loopback addresses, for the scripts of review cases: bankbank-site in the roles of the deploy
# file, with settings as deploy/settings.yaml.in makes them, and the stand-ins of standin.c. Sourced by run.sh, in bash,
# with `here` set to the folder of the case.
#
# Machines: 1 to 4 storage (1 to 3 are the seeds), 5 edge; 6 a server, 7 the platform. Machine N has the address $net.N.

set -u
cd "$here/../.." || exit 2
program=$PWD/target/bankbank-site
standin=$PWD/target/review-2/standin
record=$here/record.txt
storages="1 2 3 4"
edge=5
server=6
platform=7

: >"$record"
[ -x "$standin" ] || sh review/build-2.sh || exit 2
[ -x "$program" ] || { echo "no $program: run the build of the deploy file" >&2; exit 2; }

folder=$(mktemp -d) || exit 2
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
peer_port=$((RANDOM % 8000 + 12000))
metrics_port=$((peer_port + 1))
control_port=$((peer_port + 2))
client_port=$((peer_port + 3))
ready_port=$((peer_port + 4))
server_port=$((peer_port + 5))
declare -A pids
begun_ns=$(date +%s%N)

now_ms() { echo $((($(date +%s%N) - begun_ns) / 1000000)); }
note() { printf '%6d ms  %s\n' "$(now_ms)" "$*" >>"$record"; }

# Ends all processes, adds their log lines of the given events to the record, and exits.
finish() { # status
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    for i in $storages $edge; do
        sed -E 's/^\{"ms":[0-9]+,/log: /' "$folder/log-$i" 2>/dev/null | grep -E "\"event\":\"(${log_events:-start})\"" \
            >>"$record"
    done
    rm -rf "$folder"
    note "exit $1"
    exit "$1"
}
trap 'finish 2' INT TERM

write_settings() { # machine, bootstrap
    {
        if [ "$1" = "$edge" ]; then
            printf 'name: "edge-1"\nzone: "z1"\nmemory_mb: 220\n'
            printf 'caller_address: "%s.%s:%s"\n' "$net" "$1" "$client_port"
            printf 'ready_address: "%s.%s:%s"\n' "$net" "$1" "$ready_port"
        else
            printf 'name: "storage-z%s-1"\nzone: "z%s"\nmemory_mb: 230\ndata: "%s/data-%s"\n' "$1" "$1" "$folder" "$1"
            printf 'control_address: "%s.%s:%s"\n' "$net" "$1" "$control_port"
        fi
        printf 'ip: "%s.%s"\npeer_port: %s\nbootstrap: %s\ngrace_s: 8\n' "$net" "$1" "$peer_port" "$2"
        printf 'machine_list: "%s.%s:%s"\n' "$net" "$platform" "$server_port"
        printf 'metrics_address: "%s.%s:%s"\nseeds:\n' "$net" "$1" "$metrics_port"
        for seed in 1 2 3; do printf '  - address: "%s.%s:%s"\n' "$net" "$seed" "$control_port"; done
    } >"$folder/settings-$1.yaml"
}

start() { # machine, bootstrap
    mkdir -p "$folder/data-$1"
    write_settings "$1" "$2"
    BANKBANK_SETTINGS=$folder/settings-$1.yaml BANKBANK_FURTHER_3="server_drain_ms: 3000" \
        "$program" >>"$folder/log-$1" 2>&1 &
    pids[$1]=$!
    note "start of machine $1, bootstrap $2"
}

# The platform lists one server of the service `app`.
start_standins() { # mode of the server
    local list='{"instances":[{"service":"app","address":"'$net.$server:$server_port'","zone":"z1","version":"v1",'
    list+='"slots":6,"state":"ready","cold-remaining-ms":0,"id":"i-1"}],"next-token":null}'
    "$standin" platform "$net.$platform:$server_port" "$list" >/dev/null &
    pids[platform]=$!
    "$standin" "$1" "$net.$server:$server_port" i-1 >>"$folder/ran" &
    pids[server]=$!
}

check_processes() {
    for i in $storages $edge platform server; do
        kill -0 "${pids[$i]}" 2>/dev/null || {
            note "process $i doesn't run: $(tail -n 3 "$folder/log-$i" 2>/dev/null)"
            finish 2
        }
    done
}

exchange() { # ip, port, request; prints the answer up to the end of the connection, for 5 s at most
    timeout 5 bash -c 'exec 3<>"/dev/tcp/$0/$1" && printf "%s" "$2" >&3 && cat <&3' "$1" "$2" "$3" 2>/dev/null |
        tr -d '\r'
}

status_of() { head -n 1 | cut -d' ' -f2; }

# Sends a configuration whose only route, /x/ of a.example, has the given fields besides.
put_configuration() { # machine, fields of the route; prints the status
    local order='{"version":7,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/x/","service":"app","priority":0,'
    order+=$2'}],"services":[{"name":"app","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}],'
    order+='"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}'
    local request=$'POST /api/config/replace HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n'
    request+='Content-Length: '${#order}$'\r\nConnection: close\r\n\r\n'$order
    exchange "$net.$1" "$control_port" "$request" | status_of
}

client_request() { # method, id, deadline in ms; prints the answer
    exchange "$net.$edge" "$client_port" \
        "$1"$' /x/1 HTTP/1.1\r\nHost: a.example\r\nBankbank-Request-Id: '"$2"$'\r\nBankbank-Deadline-Ms: '"$3"$'\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
}
