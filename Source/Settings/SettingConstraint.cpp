#include "Settings/SettingConstraint.h"

namespace jayramp {

namespace {

using Sections = DaemonSettings::Sections;

/// Returns true if \p Address can be the address of another service: it is no
/// wildcard and none of this host's own addresses.
auto isRemote(const SocketAddress &Address, const Sections &Values) -> bool {
  return !Address.isWildcard() && Address != Values.Api.Address &&
         Address != Values.Peer.Address && Address != Values.Api.Advertise &&
         Address != Values.Peer.Advertise;
}

auto makeConstraints() -> std::vector<SettingConstraint> {
  return {
      {.Keys = {"api.address", "peer.address"},
       .IsSatisfied =
           [](const Sections &Values) {
             return !Values.Api.Address.overlaps(Values.Peer.Address);
           },
       .Rule = "api.address and peer.address must differ, because one port "
               "serves either callers or peers",
       .Remedy = "give peer.address another port"},
      {.Keys = {"api.advertise", "peer.advertise"},
       .IsSatisfied =
           [](const Sections &Values) {
             // The constraint above already reports listeners that overlap.
             return Values.Api.Advertise != Values.Peer.Advertise ||
                    Values.Api.Address.overlaps(Values.Peer.Address);
           },
       .Rule = "api.advertise and peer.advertise must differ, or peers would "
               "connect to the listener for callers",
       .Remedy = "give each of them its own port"},
      {.Keys = {"api.advertise", "api.address"},
       .IsSatisfied =
           [](const Sections &Values) {
             return !Values.Api.Advertise.isWildcard();
           },
       .Rule = "api.advertise must not be 0.0.0.0 or ::, because callers "
               "cannot connect to a wildcard address",
       .Remedy = "set api.advertise to the IP address of this host"},
      {.Keys = {"peer.advertise", "peer.address"},
       .IsSatisfied =
           [](const Sections &Values) {
             return !Values.Peer.Advertise.isWildcard();
           },
       .Rule = "peer.advertise must not be 0.0.0.0 or ::, because peers "
               "cannot connect to a wildcard address",
       .Remedy = "set peer.advertise to the IP address of this host"},
      {.Keys = {"platform.table_address", "api.address", "peer.address"},
       .IsSatisfied =
           [](const Sections &Values) {
             return isRemote(Values.Platform.TableAddress, Values);
           },
       .Rule = "platform.table_address must differ from api.address, "
               "peer.address, api.advertise and peer.advertise, which belong "
               "to this host, and must not be 0.0.0.0 or ::",
       .Remedy = "set platform.table_address to the address of the table "
                 "service of the platform"},
      {.Keys = {"platform.object_address", "api.address", "peer.address"},
       .IsSatisfied =
           [](const Sections &Values) {
             return isRemote(Values.Platform.ObjectAddress, Values);
           },
       .Rule = "platform.object_address must differ from api.address, "
               "peer.address, api.advertise and peer.advertise, which belong "
               "to this host, and must not be 0.0.0.0 or ::",
       .Remedy = "set platform.object_address to the address of the object "
                 "store of the platform"},
      {.Keys = {"platform.host_list_address", "api.address", "peer.address"},
       .IsSatisfied =
           [](const Sections &Values) {
             return isRemote(Values.Platform.HostListAddress, Values);
           },
       .Rule = "platform.host_list_address must differ from api.address, "
               "peer.address, api.advertise and peer.advertise, which belong "
               "to this host, and must not be 0.0.0.0 or ::",
       .Remedy = "set platform.host_list_address to the address of the "
                 "host list service of the platform"},
      {.Keys = {"api.maximum_unread_kib", "api.maximum_body_kib"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Api.MaximumUnreadBytes >=
                    Values.Api.MaximumBodyBytes;
           },
       .Rule = "api.maximum_unread_kib must be at least api.maximum_body_kib, "
               "or the largest body could never be received",
       .Remedy = "raise api.maximum_unread_kib or lower api.maximum_body_kib"},
      {.Keys = {"platform.timeout_ms", "membership.heartbeat_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Platform.Timeout <=
                    Values.Membership.StoreHeartbeatInterval;
           },
       .Rule = "platform.timeout_ms must be at most membership.heartbeat_ms, "
               "or one slow call to the platform delays the next heartbeat",
       .Remedy = "lower platform.timeout_ms or raise membership.heartbeat_ms"},
      {.Keys = {"membership.confirmation_ms", "membership.heartbeat_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Membership.ConfirmationWindow >=
                    2 * Values.Membership.StoreHeartbeatInterval;
           },
       .Rule = "membership.confirmation_ms must be at least twice "
               "membership.heartbeat_ms, or a single lost read makes "
               "the host stop serving",
       .Remedy =
           "raise membership.confirmation_ms or lower membership.heartbeat_ms"},
      {.Keys = {"membership.confirmation_ms", "membership.silence_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Membership.ConfirmationWindow <
                    Values.Membership.SilenceLimit;
           },
       .Rule = "membership.confirmation_ms must be less than "
               "membership.silence_ms, so that a host stops serving before the "
               "others remove it",
       .Remedy =
           "lower membership.confirmation_ms or raise membership.silence_ms"},
      {.Keys = {"membership.silence_ms", "membership.heartbeat_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Membership.SilenceLimit +
                        Values.Membership.StoreHeartbeatInterval <=
                    Milliseconds(4000);
           },
       .Rule =
           "membership.silence_ms and membership.heartbeat_ms must add up to "
           "at most 4000 ms, the time limit for taking over from a failed host",
       .Remedy = "lower membership.silence_ms"},
      {.Keys = {"workers.connections", "workers.slots"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Workers.Connections >= Values.Workers.Slots;
           },
       .Rule = "workers.connections must be at least workers.slots, or some "
               "slots could never be used",
       .Remedy = "raise workers.connections or lower workers.slots"},
      {.Keys = {"workers.status_ms", "platform.timeout_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Workers.StatusInterval + Values.Platform.Timeout <=
                    Milliseconds(2000);
           },
       .Rule =
           "workers.status_ms and platform.timeout_ms must add up to at "
           "most 2000 ms, the time limit for detecting that a worker leaves",
       .Remedy = "lower workers.status_ms"},
      {.Keys = {"workers.host_list_ms", "platform.timeout_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Workers.HostListInterval + Values.Platform.Timeout <=
                    Milliseconds(2000);
           },
       .Rule =
           "workers.host_list_ms and platform.timeout_ms must add up to at "
           "most 2000 ms, the time limit for detecting that a worker leaves",
       .Remedy = "lower workers.host_list_ms"},
      {.Keys = {"jobs.surplus_lease_ms", "workers.status_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Jobs.SurplusLeaseDuration >=
                    2 * Values.Workers.StatusInterval;
           },
       .Rule =
           "jobs.surplus_lease_ms must be at least twice "
           "workers.status_ms, or a single lost renewal lets a lease expire",
       .Remedy = "raise jobs.surplus_lease_ms or lower workers.status_ms"},
      {.Keys = {"jobs.lease_ms", "jobs.surplus_lease_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Jobs.GuaranteedLeaseDuration >=
                    Values.Jobs.SurplusLeaseDuration;
           },
       .Rule = "jobs.lease_ms must be at least jobs.surplus_lease_ms, because "
               "surplus accelerators are reclaimed first",
       .Remedy = "raise jobs.lease_ms or lower jobs.surplus_lease_ms"},
      {.Keys = {"jobs.checkpoint_ms", "jobs.throttle_ms", "jobs.stop_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Jobs.CheckpointTimeout +
                        Values.Jobs.ThrottleTimeout + Values.Jobs.StopTimeout <
                    Milliseconds(5200);
           },
       .Rule =
           "jobs.checkpoint_ms, jobs.throttle_ms and jobs.stop_ms must add up "
           "to less than 5200 ms, the time limit for starting urgent work",
       .Remedy = "lower one of the three settings"},
      {.Keys = {"stop.limit_ms", "stop.grace_ms"},
       .IsSatisfied =
           [](const Sections &Values) {
             return Values.Stop.Timeout > Values.Stop.GracePeriod;
           },
       .Rule = "stop.limit_ms must be longer than stop.grace_ms, or a planned "
               "stop interrupts every request",
       .Remedy = "raise stop.limit_ms or lower stop.grace_ms"},
  };
}

} // namespace

auto settingConstraints() -> const std::vector<SettingConstraint> & {
  static const auto Constraints = makeConstraints();
  return Constraints;
}

} // namespace jayramp
