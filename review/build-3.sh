#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Isource -Itests -Ireview/stand_ins_3 -ffile-prefix-map="$PWD"=.)
shared=(review/stand_ins_3/deployment.cpp tests/stand_ins/http_server.cpp tests/stand_ins/leased_store.cpp
  tests/stand_ins/leased_workers.cpp)
objects=()
pids=()
for source in "${shared[@]}"; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for program in legal_crowd overtaking_cancel; do
  g++ "${flags[@]}" "review/stand_ins_3/$program.cpp" "${objects[@]}" -o "$out/$program" -lcrypto -lpthread
done
