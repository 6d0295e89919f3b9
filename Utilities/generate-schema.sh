#!/usr/bin/env bash
# Regenerates the C++ code in Source/Schema/Generated from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/../Source/Schema"
mkdir -p Generated
protoc --cpp_out=Generated jayramp/v1/jayramp.proto jayramp/peer/v1/peer.proto \
  jayramp/shard/v1/shard.proto jayramp/relay/v1/relay.proto
