#pragma once

#include "Requests/KeyRecord.h"

namespace jayramp::peer::v1 {
class KeyRecord;
} // namespace jayramp::peer::v1

namespace jayramp {

/// Fills the peer message from \p Source.
auto writeRecord(const KeyRecord &Source, peer::v1::KeyRecord &Target) -> void;

/// The record that a peer message holds.
auto readRecord(const peer::v1::KeyRecord &Source) -> KeyRecord;

} // namespace jayramp
