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
  auto Contacts = Membership.peerObservations();
  std::string OwnIncarnation = Membership.incarnation();
  std::vector<std::string> Unconfirmed;
  for (const auto &Candidate : View->members()) {
    bool Adopted = false;
    if (Candidate.Incarnation == OwnIncarnation)
      Adopted = Store.version() >= Version;
    else
      Adopted =
          std::any_of(Contacts.begin(), Contacts.end(),
                      [&](const PeerObservation &Contact) {
                        return Contact.Name == Candidate.Name &&
                               Contact.Incarnation == Candidate.Incarnation &&
                               Contact.ConfigurationVersion >= Version;
                      });
    if (!Adopted)
      Unconfirmed.push_back(Candidate.Name);
  }
  return Unconfirmed;
}

} // namespace jayramp
