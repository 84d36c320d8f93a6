#!/usr/bin/env bash
# Builds the stand-ins of the third review. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/standins-3
