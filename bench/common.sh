# Shared by the benches: a small deployment on loopback with one entry.
#   start_bench SLOTS   starts it in $run; stop_bench stops it.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
run=$(mktemp -d)
port=9000
key=bench-peer-key-0123
pids=()

next_port() { port=$((port + 1)); }

launch() {
  "$@" >>"$run/log" 2>&1 &
  pids+=($!)
}

vm() {  # NAME ROLE PEERS OPERATORS
  vms+="${vms:+,}{\"name\":\"$1\",\"role\":\"$2\",\"zone\":\"z\",\"region\":\"r\",\"peers\":\"$3\",\"operators\":\"$4\"}"
}

daemon() {  # NAME ROLE PEERS OPERATORS EXTRA
  cat >"$run/$1.json" <<END
{"role":"$2","vm":"$1","zone":"z","region":"r","platform":"$platform",
 "peers":"$3","operators":"$4","peer_key":"$key",$5}
END
  vm "$1" "$2" "$3" "$4"
}

start_bench() {  # SLOTS [PREFILL_RUNNERS] [DECODE_RUNNERS]
  local slots=$1 prefills=${2:-2} decodes=${3:-4}
  next_port; platform=127.0.0.1:$port
  next_port; callers=127.0.0.1:$port
  next_port; local peers=127.0.0.1:$port
  next_port; operators=127.0.0.1:$port
  vms= prefill_engines= decode_engines= resources=
  daemon entry entry "$peers" "$operators" "\"callers\":\"$callers\""
  local i role
  for i in $(seq $((prefills + decodes))); do
    role=decode
    [ "$i" -le "$prefills" ] && role=prefill
    next_port; local engine=127.0.0.1:$port
    next_port; local p=127.0.0.1:$port
    next_port; local o=127.0.0.1:$port
    cat >"$run/engine-$i.json" <<END
{"engines":[{"address":"$engine","role":"$role","slots":$slots,
 "pieces":$((slots * 4)),"prefill_rate":200000,"prefill_base_ms":1,
 "step_base_ms":${step_base_ms:-12},"step_per_request_us":${step_us:-30},"seed":$i}]}
END
    [ $role = prefill ] && prefill_engines+="${prefill_engines:+,}$engine"
    [ $role = decode ] && decode_engines+="${decode_engines:+,}$engine"
    daemon "runner-$i" agent "$p" "$o" "\"upstream\":{\"name\":\"runner-$i\",
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
  launch build/standin-platform "$run/platform.json"
  for i in $(seq $((prefills + decodes))); do
    launch build/standin-engine "$run/engine-$i.json"
    launch build/burdockhilld --settings="$run/runner-$i.json"
  done
  launch build/burdockhilld --settings="$run/entry.json"
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

# Processor time of a process, in milliseconds.
cpu_ms() { awk -v tick="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / tick}' "/proc/$1/stat"; }

# A field of flat JSON.
json_field() { sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"; }
