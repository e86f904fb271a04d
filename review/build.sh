#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases in target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
common=(http store replica record fleet trainer)
objects=()
for name in "${common[@]}"; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "review/standins/$name.cpp" -o "target/review/$name.o" &
    objects+=("target/review/$name.o")
done
wait
# The last two belong to no case; the report speaks of them.
programs=(unframed_text new_route endless_answer late_in_drain large_answer large_job deadly_request)
for name in "${programs[@]}"; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/standins/$name.cpp" "${objects[@]}" -o "target/review/$name" &
done
wait
for name in "${programs[@]}"; do
    [ -x "target/review/$name" ]
done
