# Sourced by the benchmarks: a small deployment on loopback with one entry.
#   start_bench SLOTS [PREFILL_RUNNERS] [DECODE_RUNNERS]
#   stop_bench
# Settings and the log are in $run; stop_bench deletes it, after a copy of the log
# to $KEEP_LOG if that is set.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
run=$(mktemp -d)
port=9000
key=bench-peer-key-0123
pids=()

allocate_port() { port=$((port + 1)); }

launch_process() {
  "$@" >>"$run/log" 2>&1 &
  pids+=($!)
}

# Adds a VM to the platform's list.
add_vm() {  # NAME ROLE PEERS OPERATORS
  vms+="${vms:+,}{\"name\":\"$1\",\"role\":\"$2\",\"zone\":\"z\",\"region\":\"r\",\"peers\":\"$3\",\"operators\":\"$4\"}"
}

# Writes the settings of a daemon and lists its VM.
configure_daemon() {  # NAME ROLE PEERS OPERATORS EXTRA
  cat >"$run/$1.json" <<END
{"role":"$2","vm":"$1","zone":"z","region":"r","platform":"$platform",
 "peers":"$3","operators":"$4","peer_key":"$key",$5}
END
  add_vm "$1" "$2" "$3" "$4"
}

start_bench() {  # SLOTS [PREFILL_RUNNERS] [DECODE_RUNNERS]
  local slots=$1 prefills=${2:-2} decodes=${3:-4}
  allocate_port; platform=127.0.0.1:$port
  allocate_port; callers=127.0.0.1:$port
  allocate_port; local peers=127.0.0.1:$port
  allocate_port; operators=127.0.0.1:$port
  vms= prefill_engines= decode_engines= resources=
  configure_daemon entry entry "$peers" "$operators" "\"callers\":\"$callers\""
  local i role
  for i in $(seq $((prefills + decodes))); do
    role=decode
    [ "$i" -le "$prefills" ] && role=prefill
    allocate_port; local engine=127.0.0.1:$port
    allocate_port; local agent_peers=127.0.0.1:$port
    allocate_port; local agent_operators=127.0.0.1:$port
    cat >"$run/engine-$i.json" <<END
{"engines":[{"address":"$engine","role":"$role","slots":$slots,
 "pieces":$((slots * 4)),"prefill_rate":200000,"prefill_base_ms":1,
 "step_base_ms":${step_base_ms:-12},"step_per_request_us":${step_us:-30},"seed":$i}]}
END
    [ $role = prefill ] && prefill_engines+="${prefill_engines:+,}$engine"
    [ $role = decode ] && decode_engines+="${decode_engines:+,}$engine"
    configure_daemon "runner-$i" agent "$agent_peers" "$agent_operators" "\"upstream\":{\"name\":\"runner-$i\",
 \"service\":\"digest-llm\",\"back_ends\":[{\"name\":\"engine-0\",\"address\":\"$engine\"}]}"
    resources+=",{\"kind\":\"Upstream\",\"name\":\"runner-$i\",\"spec\":{\"service\":\"digest-llm\",\"vm\":\"runner-$i\"}}"
  done
  echo "{\"address\":\"$platform\",\"vms\":[$vms]}" >"$run/platform.json"
  cat >"$run/resources.json" <<END
{"resources":[{"kind":"ModelService","name":"digest-llm","spec":{}},
 {"kind":"Team","name":"adjusters","spec":{"key_sha256":
  "$(printf demo-adjusters | sha256sum | cut -d' ' -f1)",
  "requests_per_second":100000,"burst":100000,"max_concurrent":100000}}$resources]}
END
  launch_process build/standin-platform "$run/platform.json"
  for i in $(seq $((prefills + decodes))); do
    launch_process build/standin-engine "$run/engine-$i.json"
    launch_process build/burdockhilld --settings="$run/runner-$i.json"
  done
  launch_process build/burdockhilld --settings="$run/entry.json"
  entry_pid=${pids[-1]}
  agent_pid=${pids[-2]}
  sleep 0.5
  build/burdockhillctl --platform="$platform" apply -f "$run/resources.json" >/dev/null
  sleep 1.5
}

stop_bench() {
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  [ -n "${KEEP_LOG:-}" ] && cp "$run/log" "$KEEP_LOG"; rm -rf "$run"
}

# CPU time of process $1, in milliseconds.
cpu_ms() { awk -v tick="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / tick}' "/proc/$1/stat"; }

# The number of key $1 in JSON from standard input.
json_field() { sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"; }
