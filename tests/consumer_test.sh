#!/bin/sh
# Installs the build of the library, then builds and runs a program that finds it by find_package().
# Usage: consumer_test.sh BUILD SOURCE WORK [FLAGS]
#   BUILD   build folder of the library
#   SOURCE  folder of the consumer
#   WORK    folder for the installation and the consumer's build; what it holds is removed
#   FLAGS   compiler flags of the consumer
set -e
library_build=$1
consumer_source=$2
work=$3
flags=$4
rm -rf "$work"
cmake --install "$library_build" --prefix "$work/prefix" >/dev/null
cmake -S "$consumer_source" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" -DCMAKE_CXX_FLAGS="$flags" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/consumer"
