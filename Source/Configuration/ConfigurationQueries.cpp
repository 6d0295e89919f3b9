#include "Configuration/ConfigurationQueries.h"

#include "Configuration/ConfigurationStore.h"
#include "Membership/MembershipRunner.h"

#include <algorithm>

namespace jayramp {

ConfigurationQueries::ConfigurationQueries(const ConfigurationStore &Store,
                                           const MembershipRunner &Membership)
    : Store(Store), Membership(Membership) {}

auto ConfigurationQueries::current() const
    -> std::shared_ptr<const Configuration> {
  return Store.current();
}

auto ConfigurationQueries::unconfirmedHosts(std::uint64_t Version) const
    -> std::vector<std::string> {
  auto View = Membership.view();
  auto Contacts = Membership.contacts();
  std::string Own = Membership.incarnation();
  std::vector<std::string> Waiting;
  for (const auto &Entry : View->members()) {
    bool InForce = false;
    if (Entry.Incarnation == Own)
      InForce = Store.version() >= Version;
    else
      InForce = std::any_of(Contacts.begin(), Contacts.end(),
                            [&](const PeerObservation &Seen) {
                              return Seen.Name == Entry.Name &&
                                     Seen.Incarnation == Entry.Incarnation &&
                                     Seen.ConfigurationVersion >= Version;
                            });
    if (!InForce)
      Waiting.push_back(Entry.Name);
  }
  return Waiting;
}

} // namespace jayramp
