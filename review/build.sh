#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CXX:-g++} -std=c++20 -O1 -Wall -pthread -o target/review/standin review/standin/*.cpp
