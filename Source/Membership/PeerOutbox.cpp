#include "Membership/PeerOutbox.h"

#include "jayramp/peer/v1/peer.pb.h"

#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace jayramp {

namespace {

// Far above what one host sends in a contact window; a longer queue would only
// hold messages whose callers have given up.
constexpr std::size_t QueueLimit = 8192;

} // namespace

PeerOutbox::PeerOutbox(std::string Name, std::string Incarnation)
    : Descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), Name(std::move(Name)),
      Incarnation(std::move(Incarnation)) {
  if (Descriptor < 0)
    throw std::system_error(errno, std::generic_category(), "eventfd");
}

PeerOutbox::~PeerOutbox() { ::close(Descriptor); }

auto PeerOutbox::push(OutboxEntry &Entry) -> bool {
  bool WasEmpty = false;
  {
    std::lock_guard Lock(EntriesMutex);
    if (Closed)
      return false;
    if (Entries.size() >= QueueLimit &&
        !std::holds_alternative<PeerReplacement>(Entry))
      return false;
    WasEmpty = Entries.empty();
    Entries.push_back(std::move(Entry));
  }
  if (WasEmpty)
    wake();
  return true;
}

auto PeerOutbox::drain() -> std::vector<OutboxEntry> {
  // The counter is cleared before the queue is read, so that an entry pushed in
  // between leaves the descriptor readable.
  eventfd_t Count = 0;
  eventfd_read(Descriptor, &Count);
  std::lock_guard Lock(EntriesMutex);
  return std::exchange(Entries, {});
}

auto PeerOutbox::close() -> void {
  {
    std::lock_guard Lock(EntriesMutex);
    Closed = true;
  }
  wake();
}

auto PeerOutbox::setIdentity(const std::string &NewIncarnation,
                             std::uint64_t NewViewVersion) -> void {
  std::lock_guard Lock(IdentityMutex);
  Incarnation = NewIncarnation;
  ViewVersion = NewViewVersion;
}

auto PeerOutbox::serialize(const peer::v1::Envelope &Message,
                           std::uint64_t CorrelationId, bool Reply) const
    -> std::string {
  peer::v1::Envelope Complete = Message;
  Complete.set_correlation_id(CorrelationId);
  Complete.set_reply(Reply);
  {
    std::lock_guard Lock(IdentityMutex);
    Complete.set_sender(Name);
    Complete.set_incarnation(Incarnation);
    // A message built in one view must not be sent as one of a later view.
    if (Complete.view_version() == 0)
      Complete.set_view_version(ViewVersion);
  }
  return Complete.SerializeAsString();
}

auto PeerOutbox::wake() const -> void { eventfd_write(Descriptor, 1); }

} // namespace jayramp
