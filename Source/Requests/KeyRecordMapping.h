#pragma once

#include "Requests/KeyRecord.h"

namespace jayramp::peer::v1 {
class KeyRecord;
} // namespace jayramp::peer::v1

namespace jayramp {

/// Writes all fields of \p Source to the peer message \p Target.
auto writeRecord(const KeyRecord &Source, peer::v1::KeyRecord &Target) -> void;

/// Returns the record in a peer message. An unknown state is read as Granted.
auto readRecord(const peer::v1::KeyRecord &Source) -> KeyRecord;

} // namespace jayramp
