# Functions that start and stop a cell of stand-ins and daemons on loopback, for
# the scripts in the parent folder. Callers set `set -euo pipefail` and run in the
# root of the repository.

build=${BUILD_DIR:-build}
daemon=$build/src/daemon/apricotwheeld
ctl=$build/ctl/apricotwheelctl
standin=$build/testing/apricotwheel_standin
daemons=${DAEMONS:-3}
worker_journal=0  # 1: the workers write journal.jsonl into the folder.
pids=()
daemon_pids=()
folder=
base=0

build_programs() {  # TARGET...
  scripts/install_packages
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" -j "${BUILD_JOBS:-8}" --target "$@" >&2
}

# Terminates all started processes and waits for them.
stop_cell() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
  daemon_pids=()
}

fail() {
  echo "$(basename "$0") failed: $1; the logs are in $folder" >&2
  exit 1
}

launch() {  # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}

# Repeats COMMAND until it succeeds; exits with the message after SECONDS.
wait_until() {  # SECONDS MESSAGE COMMAND...
  local deadline=$((SECONDS + $1)) message=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || fail "$message"
    sleep 0.2
  done
}

http_address() { echo "127.0.0.1:$((base + 10 + $1))"; }  # DAEMON

# Prints the user and system time of a process in clock ticks.
cpu_ticks() {  # PID
  local fields
  read -ra fields <"/proc/$1/stat"
  echo $((fields[13] + fields[14]))
}

# Prints the status of each daemon, one JSON object per line.
all_statuses() {
  local d
  for ((d = 1; d <= daemons; ++d)); do
    curl -sf "http://$(http_address "$d")/v1/status" && echo
  done
}

# Succeeds if at least COUNT instances accept requests.
instances_running() {  # COUNT
  [ "$(all_statuses | python3 -c '
import json, sys
print(sum(i["accepting"] for line in sys.stdin if line.strip()
          for i in json.loads(line)["instances"]))')" -ge "$1" ]
}

# Starts the stand-ins and daemons, applies a document, and waits until all
# daemons are ready and at least INSTANCES instances accept requests.
start_cell() {  # DOCUMENT INSTANCES GROUP...
  local document=$1 instances=$2 d
  shift 2
  # Linux assigns no port below 32768 to outgoing connections by default.
  base=$((12000 + ($$ % 40) * 500))
  folder=$(mktemp -d "$build/cell.XXXXXX")
  kv=127.0.0.1:$base
  vms=127.0.0.1:$((base + 1))
  local groups=() group
  for group in "$@"; do groups+=(--group "$group"); done
  $standin cell "${groups[@]}" --failure-domains 3 \
    --base-port $((base + 50)) >"$folder/cell.json"
  head -c 48 /dev/urandom >"$folder/peer.key"
  launch kv "$standin" kv --listen "$kv"
  launch vmlist "$standin" vmlist --listen "$vms" --cell "$folder/cell.json"
  local journal=()
  [ "$worker_journal" -eq 0 ] || journal=(--journal "$folder/journal.jsonl")
  launch workers "$standin" worker --cell "$folder/cell.json" "${journal[@]}"
  for ((d = 1; d <= daemons; ++d)); do
    cat >"$folder/daemon-$d.yaml" <<YAML
name: daemon-$d
failure_domain: fd$(((d - 1) % 3))
http_address: $(http_address "$d")
peer_address: 127.0.0.1:$((base + 30 + d))
kv_address: $kv
vm_list_address: $vms
peer_key_file: $folder/peer.key
YAML
    launch "daemon-$d" "$daemon" --settings "$folder/daemon-$d.yaml"
    daemon_pids+=("${pids[-1]}")
  done
  wait_until 10 "the document was not accepted" \
    "$ctl" apply "$document" --kv "$kv" --author "$(basename "$0")"
  for ((d = 1; d <= daemons; ++d)); do
    wait_until 15 "daemon $d is not ready" \
      curl -sf "http://$(http_address "$d")/readyz"
  done
  wait_until 30 "fewer than $instances instances accept requests" instances_running "$instances"
}

# Stops the cell and deletes its folder.
end_cell() {
  stop_cell
  rm -rf "$folder"
}
