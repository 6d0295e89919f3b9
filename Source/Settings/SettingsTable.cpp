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
       .Meaning =
           "Address on which this host listens for callers and operators."},
      {.Key = "api.advertise",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Api.Advertise;
       },
       .Meaning = "Address that callers use to connect to this host; "
                  "api.address unless set."},
      {.Key = "api.maximum_body_kib",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Api.MaximumBodyBytes;
       },
       .Unit = "KiB",
       .Minimum = 1,
       .Maximum = 65536,
       .Default = "4096",
       .Meaning = "Maximum size of a request body."},
      {.Key = "api.maximum_unread_kib",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Api.MaximumUnreadBytes;
       },
       .Unit = "KiB",
       .Minimum = 1,
       .Maximum = 131072,
       .Default = "65536",
       .Meaning =
           "Maximum total size of the request bodies that are being received "
           "at the same time."},
      {.Key = "peer.address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Peer.Address;
       },
       .Required = true,
       .Meaning = "Address on which this host listens for other entry hosts."},
      {.Key = "peer.advertise",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Peer.Advertise;
       },
       .Meaning = "Address that other entry hosts use to connect to this "
                  "host; peer.address unless set."},
      {.Key = "platform.table_address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Platform.TableAddress;
       },
       .Required = true,
       .Meaning = "Address of the table service of the platform."},
      {.Key = "platform.object_address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Platform.ObjectAddress;
       },
       .Required = true,
       .Meaning = "Address of the object store of the platform."},
      {.Key = "platform.host_list_address",
       .Target = [](Sections &Values) -> SocketAddress & {
         return Values.Platform.HostListAddress;
       },
       .Required = true,
       .Meaning = "Address of the host list service of the platform."},
      {.Key = "platform.timeout_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Platform.Timeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 1000,
       .Default = "500",
       .Meaning = "Timeout of a call to the platform and of a status call to a "
                  "worker."},
      {.Key = "membership.heartbeat_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.StoreHeartbeatInterval;
       },
       .Unit = "ms",
       // At 100 ms, eight hosts make 80 writes/s; the limit is 100 writes/s.
       .Minimum = 100,
       .Maximum = 1000,
       .Default = "1000",
       .Meaning = "Interval at which this host writes its heartbeat and reads "
                  "the membership view and the configuration."},
      {.Key = "membership.peer_heartbeat_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.PeerHeartbeatInterval;
       },
       .Unit = "ms",
       .Minimum = 20,
       .Maximum = 500,
       .Default = "500",
       .Meaning = "Interval at which this host sends heartbeats to other entry "
                  "hosts."},
      {.Key = "membership.silence_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.SilenceLimit;
       },
       .Unit = "ms",
       .Minimum = 250,
       .Maximum = 3900,
       .Default = "2500",
       .Meaning = "Time without a heartbeat after which a member is removed "
                  "from the view."},
      {.Key = "membership.confirmation_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Membership.ConfirmationWindow;
       },
       .Unit = "ms",
       .Minimum = 200,
       .Maximum = 2500,
       .Default = "2000",
       .Meaning = "Maximum age of the newest confirmation of view and "
                  "configuration; at this age the host stops serving."},
      {.Key = "workers.slots",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Workers.Slots;
       },
       .Minimum = 1,
       .Maximum = 1024,
       .Default = "8",
       .Meaning = "Maximum number of requests that run on one worker at the "
                  "same time."},
      {.Key = "workers.connections",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Workers.Connections;
       },
       .Minimum = 1,
       .Maximum = 65536,
       .Default = "64",
       .Meaning = "Maximum number of open connections from this host to one "
                  "worker."},
      {.Key = "workers.guards",
       .Target = [](Sections &Values) -> bool & {
         return Values.Workers.EpochFencing;
       },
       .Default = "true",
       .Meaning = "Whether workers reject calls with an epoch older than the "
                  "newest one they have received."},
      {.Key = "workers.status_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Workers.StatusInterval;
       },
       .Unit = "ms",
       .Minimum = 50,
       .Maximum = 1500,
       .Default = "1000",
       .Meaning = "Interval of status calls to each worker that this host "
                  "owns; a status call also renews task leases."},
      {.Key = "workers.host_list_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Workers.HostListInterval;
       },
       .Unit = "ms",
       .Minimum = 50,
       .Maximum = 1500,
       .Default = "500",
       .Meaning = "Interval at which this host reads the host list."},
      {.Key = "workers.attempt_timeout_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Workers.AttemptTimeout;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 600000,
       .Default = "30000",
       .Meaning = "Timeout of one attempt on a worker; an attempt also ends at "
                  "the caller's deadline."},
      {.Key = "requests.key_retention_s",
       .Target = [](Sections &Values) -> std::chrono::seconds & {
         return Values.Requests.KeyRetention;
       },
       .Unit = "s",
       .Minimum = 1,
       .Maximum = 86400,
       .Default = "300",
       .Meaning =
           "Time for which the outcome of a request is stored under its key."},
      {.Key = "requests.maximum_keys",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Requests.MaximumKeys;
       },
       .Minimum = 1,
       .Maximum = 1000000,
       .Default = "200000",
       .Meaning = "Maximum number of key records on this host; requests with "
                  "further keys are rejected with the outcome NOT_RUN."},
      {.Key = "requests.maximum_queue",
       .Target = [](Sections &Values) -> std::size_t & {
         return Values.Requests.MaximumQueueLength;
       },
       .Minimum = 1,
       .Maximum = 100000,
       .Default = "4000",
       .Meaning = "Maximum number of waiting requests on this host, over all "
                  "client accounts."},
      {.Key = "jobs.surplus_lease_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.SurplusLeaseDuration;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 5000,
       .Default = "4000",
       .Meaning = "Lease duration of a task that uses surplus accelerators."},
      {.Key = "jobs.lease_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.GuaranteedLeaseDuration;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 60000,
       .Default = "10000",
       .Meaning = "Lease duration of every other task."},
      {.Key = "jobs.checkpoint_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.CheckpointTimeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 5000,
       .Default = "1000",
       .Meaning = "Time limit for the checkpoint of a task whose accelerators "
                  "are reclaimed."},
      {.Key = "jobs.throttle_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.ThrottleTimeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 5000,
       .Default = "500",
       .Meaning = "Time for which a task is throttled between its checkpoint "
                  "and its stop."},
      {.Key = "jobs.stop_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Jobs.StopTimeout;
       },
       .Unit = "ms",
       .Minimum = 10,
       .Maximum = 5000,
       .Default = "1000",
       .Meaning = "Time limit for a task to stop before its lease ends."},
      {.Key = "stop.grace_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Stop.GracePeriod;
       },
       .Unit = "ms",
       .Minimum = 0,
       .Maximum = 60000,
       .Default = "1000",
       .Meaning = "In a planned stop, time between the first failed readiness "
                  "check and the rejection of new requests."},
      {.Key = "stop.limit_ms",
       .Target = [](Sections &Values) -> Milliseconds & {
         return Values.Stop.Timeout;
       },
       .Unit = "ms",
       .Minimum = 100,
       .Maximum = 3600000,
       .Default = "60000",
       .Meaning = "Time after which a planned stop interrupts the work that is "
                  "still in progress."},
      {.Key = "log.level",
       .Target = [](Sections &Values) -> LogLevel & {
         return Values.Log.Level;
       },
       .Default = "info",
       .Meaning = "Lowest severity of log lines that are written."},
      {.Key = "log.lines_per_second",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Log.Limits.Lines;
       },
       .Minimum = 10,
       .Maximum = 1000000,
       .Default = "2000",
       .Meaning = "Maximum number of log lines per second; above half of it, "
                  "lines of some ids are dropped and counted."},
      {.Key = "log.bytes_per_second",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Log.Limits.Bytes;
       },
       .Unit = "bytes",
       .Minimum = 4096,
       .Maximum = 1000000000,
       .Default = "524288",
       .Meaning = "Maximum number of bytes of log lines per second."},
      {.Key = "threads.http",
       .Target = [](Sections &Values) -> std::uint32_t & {
         return Values.Threads.Http;
       },
       .Minimum = 1,
       .Maximum = 64,
       .Default = "8",
       .Meaning = "Number of threads that serve HTTP."},
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
