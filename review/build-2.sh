#!/bin/sh
# Builds the stand-ins of the second review's scripts, from the repository's root, with the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -DASIO_NO_DEPRECATED -o target/review-2/standin review/standin-2/main.cpp
