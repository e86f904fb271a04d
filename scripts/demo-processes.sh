# Functions that start and stop the stand-ins and the three daemons with the settings in demo/.
# To be sourced with build_dir set to the build directory. Stops all processes when the sourcing script exits.

logs=$(mktemp -d)
pids=()

stop_all() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}
trap stop_all EXIT

# Starts a program in the background, with its output in a log file.
start() {
    "$@" >"$logs/${#pids[@]}.log" 2>&1 &
    pids+=($!)
}

# Waits up to 10 s until the daemon with the admin address $1 is ready.
wait_ready() {
    for _ in $(seq 100); do
        curl -fsS "http://$1/readyz" >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "The daemon at $1 did not become ready within 10 s; see the log files in $logs." >&2
    exit 1
}

# Creates the catalogue entry $1 from demo/$1.json.
edit() {
    curl -fsS "http://127.0.0.1:18011/v1/catalogue/edits" -d \
        "{\"id\":\"demo-$1\",\"entry\":\"$1\",\"replaces\":0,\"operator\":\"demo\",\"action\":\"put\",\"body\":$(cat "demo/$1.json")}"
}

start_demo() {
    start "$build_dir/tests/standins/standin" --settings demo/standins.json
    for vm in entry-a1 entry-b1 entry-c1; do
        start "$build_dir/src/apps/ragwortreachd/ragwortreachd" --settings "demo/$vm.json"
    done
    for admin in 127.0.0.1:18011 127.0.0.1:18021 127.0.0.1:18031; do wait_ready "$admin"; done
}
