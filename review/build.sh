#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into review/build. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++20 -O1 -g -Wall -Wextra -Isource -Itests -Ireview/stand_ins -D__cpp_impl_coroutine=201902L
       -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1)
objects=()
pids=()
for source in tests/stand_ins/http_server.cpp tests/stand_ins/leased_store.cpp review/stand_ins/world.cpp; do
    object=review/build/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
    objects+=("$object")
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "review/build/case-$number" -lcrypto -lpthread
done
