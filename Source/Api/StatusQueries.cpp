#include "Api/StatusQueries.h"

#include "Api/FieldChecks.h"
#include "Base/Metrics.h"
#include "Configuration/ConfigurationQueries.h"
#include "Membership/MembershipRunner.h"
#include "Requests/RequestRouter.h"
#include "Requests/SlotBroker.h"
#include "Requests/WorkerDirectory.h"

#include "jayramp/v1/jayramp.pb.h"

#include <utility>
#include <variant>

namespace jayramp {

StatusQueries::StatusQueries(
    std::string HostName, const ConfigurationQueries &Settings,
    const MembershipRunner &Membership, const WorkerDirectory &Workers,
    const SlotBroker &Slots, const RequestRouter &Router,
    const Metrics &Counters, std::function<bool()> IsStopping)
    : HostName(std::move(HostName)), Settings(Settings), Membership(Membership),
      Workers(Workers), Slots(Slots), Router(Router), Counters(Counters),
      IsStopping(std::move(IsStopping)) {}

auto StatusQueries::notReadyReason() const -> std::string {
  if (IsStopping())
    return "STOPPING";
  auto Serving = Membership.servingDecision();
  if (const auto *Refused = std::get_if<ServingRefused>(&Serving))
    return std::string(toString(Refused->Reason));
  return {};
}

auto StatusQueries::configuration() const -> ApiResponse {
  auto Current = Settings.current();
  v1::ConfigurationReport Report;
  Report.set_version(Current->version());
  *Report.mutable_document() = Current->document();
  auto UnconfirmedHosts = Settings.unconfirmedHosts(Current->version());
  Report.set_accepted(UnconfirmedHosts.empty());
  for (const auto &Host : UnconfirmedHosts)
    Report.add_waiting_for(Host);
  return ApiResponse::json(200, Report);
}

auto StatusQueries::accounts() const -> ApiResponse {
  v1::ConfigurationDocument AccountList;
  auto Current = Settings.current();
  *AccountList.mutable_accounts() = Current->document().accounts();
  return ApiResponse::json(200, AccountList);
}

auto StatusQueries::account(const std::string &Name) const -> ApiResponse {
  auto Checked = checkAccountExists(Settings, Name);
  if (!Checked)
    return ApiResponse::failure(Checked.error());
  auto Current = Settings.current();
  for (const auto &Entry : Current->document().accounts())
    if (Entry.name() == Name)
      return ApiResponse::json(200, Entry);
  return ApiResponse::text(404, "");
}

auto StatusQueries::status() const -> ApiResponse {
  v1::StatusReport Report;
  Report.set_entry_host(HostName);
  Report.set_incarnation(Membership.incarnation());
  Report.set_not_ready_reason(notReadyReason());
  Report.set_ready(Report.not_ready_reason().empty());
  auto View = Membership.view();
  Report.set_view_version(View->version());
  Report.set_configuration_version(Settings.current()->version());
  Report.set_requests_in_progress(
      static_cast<std::uint32_t>(Router.requestsInProgress()));
  for (const auto &Member : View->members()) {
    auto *MemberReport = Report.add_members();
    MemberReport->set_name(Member.Name);
    MemberReport->set_incarnation(Member.Incarnation);
    MemberReport->set_availability_zone(Member.AvailabilityZone);
  }
  for (const auto &Worker : Workers.workers()) {
    auto *WorkerReport = Report.add_workers();
    WorkerReport->set_name(Worker.HostListEntry.Name);
    WorkerReport->set_availability_zone(Worker.HostListEntry.AvailabilityZone);
    WorkerReport->set_rack(Worker.HostListEntry.Rack);
    WorkerReport->set_owner(Worker.Owner);
    WorkerReport->set_slots(Worker.Status.Slots);
    WorkerReport->set_accelerators(Worker.Status.Accelerators);
    bool IsOwner = Worker.Owner == HostName;
    if (IsOwner)
      WorkerReport->set_slots_used(Slots.usedSlots(Worker.HostListEntry.Name));
    if (Worker.HostListEntry.Leaving || Worker.Status.Leaving)
      WorkerReport->set_state("LEAVING");
    else if (IsOwner && !Worker.Reachable)
      WorkerReport->set_state("UNREACHABLE");
    else
      WorkerReport->set_state(
          IsOwner ? Slots.workerState(Worker.HostListEntry.Name) : "LIVE");
  }
  return ApiResponse::json(200, Report);
}

auto StatusQueries::ready() const -> ApiResponse {
  std::string Reason = notReadyReason();
  return Reason.empty() ? ApiResponse::text(200, "ready\n")
                        : ApiResponse::text(503, Reason + "\n");
}

auto StatusQueries::metrics() const -> ApiResponse {
  return ApiResponse::text(200, Counters.renderText());
}

} // namespace jayramp
