#!/usr/bin/env bash
# Builds the program that plays the scripted cases 7 to 10, with the project's stand-ins that it uses, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -fcoroutines -O1 -g -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1 -Itests -Isource)
builds=()
for file in tests/stand_ins/http_server.cpp tests/stand_ins/relay.cpp tests/stand_ins/leased_store.cpp \
    review/stand_ins_2/deployment.cpp review/stand_ins_2/cases.cpp review/stand_ins_2/main.cpp; do
    g++ "${flags[@]}" -c "$file" -o "target/review-2/$(basename "${file%.cpp}").o" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
g++ target/review-2/*.o -o target/review-2/review-case -lcrypto -pthread
