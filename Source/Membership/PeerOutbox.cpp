#include "Membership/PeerOutbox.h"

#include "jayramp/peer/v1/peer.pb.h"

#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace jayramp {

namespace {

// Far above what one host sends within the contact window; a longer queue would
// only hold messages whose calls have already timed out.
constexpr std::size_t MaxQueuedEntries = 8192;

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
    if (IsClosed)
      return false;
    if (Entries.size() >= MaxQueuedEntries &&
        !std::holds_alternative<PeerReplacement>(Entry))
      return false;
    WasEmpty = Entries.empty();
    Entries.push_back(std::move(Entry));
  }
  if (WasEmpty)
    signalDescriptor();
  return true;
}

auto PeerOutbox::drain() -> std::vector<OutboxEntry> {
  // Reset the event counter before taking the entries, so that an entry pushed
  // in between leaves the descriptor readable.
  eventfd_t Count = 0;
  eventfd_read(Descriptor, &Count);
  std::lock_guard Lock(EntriesMutex);
  return std::exchange(Entries, {});
}

auto PeerOutbox::close() -> void {
  {
    std::lock_guard Lock(EntriesMutex);
    IsClosed = true;
  }
  signalDescriptor();
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
  peer::v1::Envelope Outgoing = Message;
  Outgoing.set_correlation_id(CorrelationId);
  Outgoing.set_reply(Reply);
  {
    std::lock_guard Lock(IdentityMutex);
    Outgoing.set_sender(Name);
    Outgoing.set_incarnation(Incarnation);
    // A message that the caller built under one view must not carry the version
    // of a later one.
    if (Outgoing.view_version() == 0)
      Outgoing.set_view_version(ViewVersion);
  }
  return Outgoing.SerializeAsString();
}

auto PeerOutbox::signalDescriptor() const -> void {
  eventfd_write(Descriptor, 1);
}

} // namespace jayramp
