#include "Settings/SettingsTable.h"

#include <algorithm>

namespace jayramp {

namespace {

using Sections = DaemonSettings::Sections;

auto makeTable() -> std::vector<SettingDescription> {
  return {
      {.Key = "host.name",
       .Target = [](Sections &Values) -> std::string & {
         return Values.Host.Name;
       },
       .Required = true,
       .Meaning = "Name of this entry host, unique among all entry hosts and "
                  "the same after a restart."},
      {.Key = "host.availability_zone",
       .Target = [](Sections &Values) -> std::string & {
         return Values.Host.AvailabilityZone;
       },
       .Required = true,
       .Meaning = "Availability zone that this entry host runs in."},
      {.Key = "api.address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Api.Address;
       },
       .Required = true,
       .Meaning = "Address on which callers and operators are served."},
      {.Key = "api.advertise",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Api.Advertise;
       },
       .Meaning = "Address under which callers reach this host; api.address "
                  "unless set."},
      {.Key = "api.maximum_body_kib",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Api.MaximumBodyBytes;
       },
       .Unit = "KiB",
       .Minimum = 1,
       .Maximum = 65536,
       .Default = "4096",
       .Meaning = "Largest request body that is accepted."},
      {.Key = "api.maximum_unread_kib",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Api.MaximumUnreadBytes;
       },
       .Unit = "KiB",
       .Minimum = 1,
       .Maximum = 131072,
       .Default = "65536",
       .Meaning =
           "Memory for all request bodies that are still being received."},
      {.Key = "peer.address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Peer.Address;
       },
       .Required = true,
       .Meaning = "Address on which other entry hosts are served."},
      {.Key = "peer.advertise",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Peer.Advertise;
       },
       .Meaning = "Address under which other entry hosts reach this host; "
                  "peer.address unless set."},
      {.Key = "platform.table_address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Platform.TableAddress;
       },
       .Required = true,
       .Meaning = "Table service of the platform."},
      {.Key = "platform.object_address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Platform.ObjectAddress;
       },
       .Required = true,
       .Meaning = "Object store of the platform."},
      {.Key = "platform.host_list_address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Platform.HostListAddress;
       },
       .Required = true,
       .Meaning = "Host list of the platform."},
      {.Key = "platform.timeout_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Platform.Timeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 1000,
       .Default = "500",
       .Meaning = "Time after which a call to the platform or a status call to "
                  "a worker is given up."},
      {.Key = "membership.heartbeat_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.HeartbeatInterval;
       },
       .Unit = "ms",
       // Eight hosts at 100 ms make 80 of the 100 writes/s that are permitted.
       .Minimum = 100,
       .Maximum = 1000,
       .Default = "1000",
       .Meaning = "Interval of heartbeat writes and of reads of the view and "
                  "the configuration."},
      {.Key = "membership.peer_heartbeat_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.PeerHeartbeatInterval;
       },
       .Unit = "ms",
       .Minimum = 20,
       .Maximum = 500,
       .Default = "500",
       .Meaning = "Interval of heartbeat messages to other entry hosts."},
      {.Key = "membership.silence_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.SilenceTimeout;
       },
       .Unit = "ms",
       .Minimum = 250,
       .Maximum = 3900,
       .Default = "2500",
       .Meaning = "Time without a heartbeat after which a member is removed "
                  "from the view."},
      {.Key = "membership.confirmation_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.MaximumConfirmationAge;
       },
       .Unit = "ms",
       .Minimum = 200,
       .Maximum = 2500,
       .Default = "2000",
       .Meaning = "Age at which the newest confirmation of view and "
                  "configuration no longer permits serving."},
      {.Key = "workers.slots",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Workers.Slots;
       },
       .Minimum = 1,
       .Maximum = 1024,
       .Default = "8",
       .Meaning = "Requests that run on one worker at the same time."},
      {.Key = "workers.connections",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Workers.Connections;
       },
       .Minimum = 1,
       .Maximum = 65536,
       .Default = "64",
       .Meaning = "Connections that are open to one worker at the same time."},
      {.Key = "workers.guards",
       .Target = [](Sections &Values) -> bool & {
         return Values.Workers.EpochFencing;
       },
       .Default = "true",
       .Meaning = "Whether workers refuse calls with an epoch older than the "
                  "newest they have seen."},
      {.Key = "workers.status_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Workers.StatusInterval;
       },
       .Unit = "ms",
       .Minimum = 50,
       .Maximum = 1500,
       .Default = "1000",
       .Meaning = "Interval of status calls to each worker that this host "
                  "owns; they also renew task leases."},
      {.Key = "workers.host_list_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Workers.HostListInterval;
       },
       .Unit = "ms",
       .Minimum = 50,
       .Maximum = 1500,
       .Default = "500",
       .Meaning = "Interval of reads of the host list."},
      {.Key = "workers.attempt_timeout_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Workers.AttemptTimeout;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 600000,
       .Default = "30000",
       .Meaning = "Longest time of one attempt on a worker; an attempt never "
                  "outlives the caller's deadline."},
      {.Key = "requests.key_retention_s",
       .Target = [](Sections &Values) -> std::chrono::seconds & {
         return Values.Requests.KeyRetention;
       },
       .Unit = "s",
       .Minimum = 1,
       .Maximum = 86400,
       .Default = "300",
       .Meaning =
           "Time for which the outcome of a request is kept for its key."},
      {.Key = "requests.maximum_keys",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Requests.MaximumKeys;
       },
       .Minimum = 1,
       .Maximum = 1000000,
       .Default = "200000",
       .Meaning = "Key records that this host holds; further keys are refused "
                  "as not run."},
      {.Key = "requests.maximum_queue",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Requests.MaximumQueueLength;
       },
       .Minimum = 1,
       .Maximum = 100000,
       .Default = "4000",
       .Meaning = "Requests that wait on this host over all client accounts."},
      {.Key = "jobs.surplus_lease_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.SurplusLeaseDuration;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 5000,
       .Default = "4000",
       .Meaning = "Lease of a task that uses surplus accelerators."},
      {.Key = "jobs.lease_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.LeaseDuration;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 60000,
       .Default = "10000",
       .Meaning = "Lease of every other task."},
      {.Key = "jobs.checkpoint_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.CheckpointTimeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 5000,
       .Default = "1000",
       .Meaning = "Time that a task gets for its checkpoint when accelerators "
                  "are reclaimed."},
      {.Key = "jobs.throttle_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.ThrottleDuration;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 5000,
       .Default = "500",
       .Meaning = "Time that a task is throttled after its checkpoint and "
                  "before it is stopped."},
      {.Key = "jobs.stop_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.StopTimeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 5000,
       .Default = "1000",
       .Meaning = "Time that a task gets to stop before its lease ends."},
      {.Key = "stop.grace_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Stop.GracePeriod;
       },
       .Unit = "ms",
       .Minimum = 0,
       .Maximum = 60000,
       .Default = "1000",
       .Meaning = "Time between failed readiness and refusal of new requests "
                  "in a planned stop."},
      {.Key = "stop.limit_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Stop.Timeout;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 3600000,
       .Default = "60000",
       .Meaning = "Time after which a planned stop interrupts what is still in "
                  "progress."},
      {.Key = "log.level",
       .Target = [](Sections &Values) -> LogLevel & {
         return Values.Log.Level;
       },
       .Default = "info",
       .Meaning = "Least severe log lines that are written."},
      {.Key = "log.lines_per_second",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Log.Limits.Lines;
       },
       .Minimum = 10,
       .Maximum = 1000000,
       .Default = "2000",
       .Meaning = "Most log lines in a second; from half of them on, lines of "
                  "some ids are left out and counted."},
      {.Key = "log.bytes_per_second",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Log.Limits.Bytes;
       },
       .Unit = "bytes",
       .Minimum = 4096,
       .Maximum = 1000000000,
       .Default = "524288",
       .Meaning = "Most bytes of log lines in a second."},
      {.Key = "threads.http",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Threads.Http;
       },
       .Minimum = 1,
       .Maximum = 64,
       .Default = "8",
       .Meaning = "Threads that serve HTTP."},
  };
}

} // namespace

auto settingsTable() -> const std::vector<SettingDescription> & {
  static const auto Table = makeTable();
  return Table;
}

auto findSetting(std::string_view Key) -> const SettingDescription * {
  const auto &Table = settingsTable();
  auto Found =
      std::find_if(Table.begin(), Table.end(),
                   [&](const auto &Setting) { return Setting.Key == Key; });
  return Found == Table.end() ? nullptr : &*Found;
}

} // namespace jayramp
