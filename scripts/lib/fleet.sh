# Starts and stops daemons and the emulator on loopback. A script that sources this
# file sets BUILD, FOLDER and the *_PORT variables. FLEET_PIDS holds the process
# ids by name; only these are signalled.

declare -A FLEET_PIDS=()

fleet_fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# fleet_wait SECONDS WHAT COMMAND...: repeats the command until it succeeds; exits on timeout.
fleet_wait() {
  local deadline=$((SECONDS + $1)) what="$2"
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || fleet_fail "timed out waiting for $what"
    sleep 0.05
  done
}

fleet_start_emulator() { # PORT FLAGS...
  local port="$1"
  shift
  "$BUILD/bankbank-emulator" --listen "127.0.0.1:$port" "$@" >"$FOLDER/emulator.log" 2>&1 &
  FLEET_PIDS[emulator]=$!
  fleet_wait 20 "the start of the emulator" curl -sf "http://127.0.0.1:$port/machines"
}

# fleet_write_settings NODE REPLICAS [ROLE]: REPLICAS is 0 for a single daemon. ROLE
# is both, state or gateway; node numbers of gateways must be above REPLICAS.
# FLEET_EXTRA may hold additional lines of settings.
fleet_write_settings() {
  local node="$1" count="$2" role="${3:-both}" other
  {
    echo "cluster: demo"
    echo "node: $node"
    echo "zone: zone-$node"
    echo "data: $FOLDER/node-$node"
    echo "caller_address: 127.0.0.1:$((CALLER_PORT + node - 1))"
    echo "operator_address: 127.0.0.1:$((OPERATOR_PORT + node - 1))"
    echo "threads: 256"
    [ "$role" = state ] && echo "gateway_role: false"
    [ "$role" = gateway ] && echo "state_role: false"
    [ -n "${FLEET_EXTRA:-}" ] && echo "$FLEET_EXTRA"
    if [ "$count" -gt 0 ]; then
      echo "peer_address: 127.0.0.1:$((PEER_PORT + node - 1))"
      echo "replicas:"
    fi
    for ((other = 1; other <= count; other++)); do
      echo "  - node: $other"
      echo "    address: 127.0.0.1:$((PEER_PORT + other - 1))"
    done
  } >"$FOLDER/node-$node.yaml"
}

fleet_start_daemon() { # NODE
  local node="$1"
  "$BUILD/bankbankd" --config "$FOLDER/node-$node.yaml" >>"$FOLDER/node-$node.log" 2>&1 &
  FLEET_PIDS[node-$node]=$!
}

fleet_wait_ready() { # NODE
  fleet_wait 30 "readiness of node $1" curl -sf "http://127.0.0.1:$((OPERATOR_PORT + $1 - 1))/readyz"
}

fleet_kill() { # NAME SIGNAL
  kill "-$2" "${FLEET_PIDS[$1]}"
  wait "${FLEET_PIDS[$1]}" 2>/dev/null || true
  unset "FLEET_PIDS[$1]"
}

fleet_stop_all() {
  local name
  for name in "${!FLEET_PIDS[@]}"; do
    kill -TERM "${FLEET_PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

fleet_ctl() { # ARGUMENTS...: uses the first daemon
  "$BUILD/bankbankctl" --server "127.0.0.1:$OPERATOR_PORT" "$@"
}

# fleet_create_resources EMULATOR_PORT ENGINES: creates a pool, a policy and a
# service, and waits until they are in force.
fleet_create_resources() {
  local engines=() backends=() number revision
  for ((number = 0; number < $2; number++)); do
    engines+=("engine=engine-$number,http://127.0.0.1:$1/engines/$number,zone-$((number % 3 + 1))")
    backends+=("backend=backend-$number,http://127.0.0.1:$1/backends/$number,zone-$((number % 3 + 1))")
  done
  fleet_ctl create pool agents model=agent-model "${engines[@]}" || return 1
  fleet_ctl create policy default pool=agents || return 1
  fleet_ctl create service calculator "${backends[@]}" || return 1
  revision=$(fleet_ctl --json list pool >/dev/null && fleet_ctl --json status | grep -o '"revision": [0-9]*' | grep -o '[0-9]*$')
  fleet_ctl wait "$revision"
}
