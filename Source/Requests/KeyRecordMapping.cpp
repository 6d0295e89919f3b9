#include "Requests/KeyRecordMapping.h"

#include "jayramp/peer/v1/peer.pb.h"

namespace jayramp {

namespace {

auto writeState(KeyState State) -> peer::v1::KeyRecordState {
  switch (State) {
  case KeyState::Tentative:
    return peer::v1::KEY_RECORD_TENTATIVE;
  case KeyState::Granted:
    return peer::v1::KEY_RECORD_GRANTED;
  case KeyState::Released:
    return peer::v1::KEY_RECORD_RELEASED;
  case KeyState::Done:
    return peer::v1::KEY_RECORD_DONE;
  }
  return peer::v1::KEY_RECORD_UNSPECIFIED;
}

auto readState(peer::v1::KeyRecordState State) -> KeyState {
  switch (State) {
  case peer::v1::KEY_RECORD_TENTATIVE:
    return KeyState::Tentative;
  case peer::v1::KEY_RECORD_RELEASED:
    return KeyState::Released;
  case peer::v1::KEY_RECORD_DONE:
    return KeyState::Done;
  default:
    // A state that this version of the program does not know must not allow
    // another claim to be granted.
    return KeyState::Granted;
  }
}

} // namespace

auto writeRecord(const KeyRecord &Source, peer::v1::KeyRecord &Target) -> void {
  Target.set_shard(Source.Shard);
  Target.set_account(Source.Account);
  Target.set_key(Source.Key);
  Target.set_state(writeState(Source.State));
  Target.set_claim_id(Source.ClaimId);
  Target.set_holder_host(Source.HolderHost);
  Target.set_holder_incarnation(Source.HolderIncarnation);
  Target.set_outcome(Source.Outcome);
  Target.set_unknown(Source.IsOutcomeUnknown);
  Target.set_write_view(Source.Version.View);
  Target.set_write_sequence(Source.Version.Sequence);
  Target.set_age_ms(static_cast<std::uint64_t>(Source.Age.count()));
}

auto readRecord(const peer::v1::KeyRecord &Source) -> KeyRecord {
  return {.Shard = Source.shard(),
          .Account = Source.account(),
          .Key = Source.key(),
          .State = readState(Source.state()),
          .ClaimId = Source.claim_id(),
          .HolderHost = Source.holder_host(),
          .HolderIncarnation = Source.holder_incarnation(),
          .Outcome = Source.outcome(),
          .IsOutcomeUnknown = Source.unknown(),
          .Version = {Source.write_view(), Source.write_sequence()},
          .Age = Milliseconds(Source.age_ms())};
}

} // namespace jayramp
