#!/bin/sh
# Installs a build of the library, then builds and runs a program that finds it with find_package().
# Usage: consumer_test.sh BUILD SOURCE WORK [FLAGS]
#   BUILD   build folder of the library
#   SOURCE  folder of the consumer
#   WORK    folder for the installation and the consumer's build; its contents are removed first
#   FLAGS   compiler flags of the consumer
set -e
library_build=$1
consumer_source=$2
work_folder=$3
compiler_flags=$4
rm -rf "$work_folder"
cmake --install "$library_build" --prefix "$work_folder/prefix" >/dev/null
cmake -S "$consumer_source" -B "$work_folder/build" -DCMAKE_PREFIX_PATH="$work_folder/prefix" -DCMAKE_CXX_FLAGS="$compiler_flags" >/dev/null
cmake --build "$work_folder/build" >/dev/null
"$work_folder/build/consumer"
