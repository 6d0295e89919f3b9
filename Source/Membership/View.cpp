#include "Membership/View.h"

#include <cpprest/json.h>

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

using web::json::value;

// Keeps a damaged row from exhausting the memory.
constexpr std::size_t MaxTextBytes = 1 << 20;

auto invalidView(std::string Place, std::string Detail) -> Error {
  return Error::make(ErrorKind::InvalidArgument, std::move(Place),
                     std::move(Detail),
                     "repair the row membership/view or remove it while every "
                     "entry host is stopped");
}

auto stringField(const value &Object, const char *Field) -> std::string {
  return Object.at(Field).as_string();
}

auto parseNames(const value &Array) -> std::vector<std::string> {
  std::vector<std::string> Result;
  for (const auto &Entry : Array.as_array())
    Result.push_back(Entry.as_string());
  std::sort(Result.begin(), Result.end());
  return Result;
}

auto toJsonArray(const std::vector<std::string> &Names) -> value {
  std::vector<value> Entries;
  for (const auto &Name : Names)
    Entries.push_back(value::string(Name));
  return value::array(std::move(Entries));
}

auto parseState(const value &Object) -> MemberState {
  std::string State = stringField(Object, "state");
  if (State != "serving" && State != "leaving")
    throw web::json::json_exception("state is neither serving nor leaving");
  return State == "leaving" ? MemberState::Leaving : MemberState::Serving;
}

auto stateToJson(const Member &Source) -> value {
  return value::string(Source.State == MemberState::Leaving ? "leaving"
                                                            : "serving");
}

auto parseEarlierView(const value &Object) -> EarlierView {
  EarlierView Result;
  Result.Version = Object.at("version").as_number().to_uint64();
  for (const auto &Entry : Object.at("members").as_array())
    Result.Members.push_back(
        {.Name = stringField(Entry, "name"),
         .Incarnation = stringField(Entry, "incarnation"),
         .ApiAddress = {},
         .PeerAddress = {},
         .AvailabilityZone = stringField(Entry, "availability_zone"),
         .State = parseState(Entry)});
  return Result;
}

auto toJsonValue(const EarlierView &Source) -> value {
  std::vector<value> Members;
  for (const auto &Entry : Source.Members) {
    value Object = value::object();
    Object["name"] = value::string(Entry.Name);
    Object["incarnation"] = value::string(Entry.Incarnation);
    Object["availability_zone"] = value::string(Entry.AvailabilityZone);
    Object["state"] = stateToJson(Entry);
    Members.push_back(Object);
  }
  value Object = value::object();
  Object["version"] = value::number(Source.Version);
  Object["members"] = value::array(std::move(Members));
  return Object;
}

auto parseMember(const value &Object) -> Member {
  return {.Name = stringField(Object, "name"),
          .Incarnation = stringField(Object, "incarnation"),
          .ApiAddress = stringField(Object, "api_address"),
          .PeerAddress = stringField(Object, "peer_address"),
          .AvailabilityZone = stringField(Object, "availability_zone"),
          .State = parseState(Object)};
}

auto toJsonValue(const Member &Source) -> value {
  value Object = value::object();
  Object["name"] = value::string(Source.Name);
  Object["incarnation"] = value::string(Source.Incarnation);
  Object["api_address"] = value::string(Source.ApiAddress);
  Object["peer_address"] = value::string(Source.PeerAddress);
  Object["availability_zone"] = value::string(Source.AvailabilityZone);
  Object["state"] = stateToJson(Source);
  return Object;
}

} // namespace

View::View(std::uint64_t Version, std::vector<Member> Members,
           std::vector<PredecessorView> Predecessors,
           std::vector<EarlierView> RecentViews)
    : Version(Version), Members(std::move(Members)),
      Predecessors(std::move(Predecessors)),
      RecentViews(std::move(RecentViews)) {}

auto View::make(std::uint64_t Version, std::vector<Member> Members,
                std::vector<PredecessorView> Predecessors,
                std::vector<EarlierView> RecentViews) -> Result<View> {
  std::sort(Members.begin(), Members.end(),
            [](const Member &A, const Member &B) { return A.Name < B.Name; });
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    std::string Place = "members[" + std::to_string(Index) + "].name";
    if (Members[Index].Name.empty())
      return invalidView(Place, "is empty");
    if (Index > 0 && Members[Index - 1].Name == Members[Index].Name)
      return invalidView(Place, "occurs twice: " + Members[Index].Name);
  }
  return View(Version, std::move(Members), std::move(Predecessors),
              std::move(RecentViews));
}

auto View::parse(std::string_view Text, std::uint64_t RowVersion)
    -> Result<View> {
  if (Text.size() > MaxTextBytes)
    return invalidView("view", "the row value is longer than 1 MiB");
  try {
    value Object = value::parse(std::string(Text));
    std::vector<Member> Members;
    for (const auto &Entry : Object.at("members").as_array())
      Members.push_back(parseMember(Entry));
    std::vector<PredecessorView> Predecessors;
    for (const auto &Entry : Object.at("predecessors").as_array())
      Predecessors.push_back(
          {parseNames(Entry.at("names")), parseNames(Entry.at("released"))});
    std::vector<EarlierView> RecentViews;
    // Rows written by program versions without this field lack it.
    if (Object.has_field("recent"))
      for (const auto &Entry : Object.at("recent").as_array())
        RecentViews.push_back(parseEarlierView(Entry));
    std::uint64_t Version = Object.at("version").as_number().to_uint64();
    return make(RowVersion == 0 ? Version : RowVersion, std::move(Members),
                std::move(Predecessors), std::move(RecentViews));
  } catch (const std::exception &Failure) {
    return invalidView("view", Failure.what());
  }
}

auto View::toJson() const -> std::string {
  value Object = value::object();
  Object["version"] = value::number(Version);
  std::vector<value> MemberArray;
  for (const auto &Entry : Members)
    MemberArray.push_back(toJsonValue(Entry));
  Object["members"] = value::array(std::move(MemberArray));
  std::vector<value> PredecessorArray;
  for (const auto &Entry : Predecessors) {
    value PredecessorObject = value::object();
    PredecessorObject["names"] = toJsonArray(Entry.MemberNames);
    PredecessorObject["released"] = toJsonArray(Entry.ReleasedMembers);
    PredecessorArray.push_back(PredecessorObject);
  }
  Object["predecessors"] = value::array(std::move(PredecessorArray));
  std::vector<value> RecentArray;
  for (const auto &Entry : RecentViews)
    RecentArray.push_back(toJsonValue(Entry));
  Object["recent"] = value::array(std::move(RecentArray));
  return Object.serialize();
}

auto View::find(std::string_view Name) const -> const Member * {
  auto Found = std::lower_bound(Members.begin(), Members.end(), Name,
                                [](const Member &Entry, std::string_view Key) {
                                  return Entry.Name < Key;
                                });
  return Found != Members.end() && Found->Name == Name ? &*Found : nullptr;
}

auto View::contains(std::string_view Name, std::string_view Incarnation) const
    -> bool {
  const Member *Found = find(Name);
  return Found && Found->Incarnation == Incarnation;
}

auto View::withMember(const Member &Added, bool Settled) const -> View {
  std::vector<Member> Next;
  for (const auto &Entry : Members)
    if (Entry.Name != Added.Name)
      Next.push_back(Entry);
  Next.insert(std::upper_bound(Next.begin(), Next.end(), Added,
                               [](const Member &A, const Member &B) {
                                 return A.Name < B.Name;
                               }),
              Added);
  return {Version + 1, std::move(Next), nextPredecessors(Settled, {}),
          nextRecentViews()};
}

auto View::withoutMembers(const std::vector<std::string> &Names, bool Settled,
                          bool LeftByOwnWrite) const -> View {
  std::vector<Member> Next;
  for (const auto &Entry : Members)
    if (std::find(Names.begin(), Names.end(), Entry.Name) == Names.end())
      Next.push_back(Entry);
  return {Version + 1, std::move(Next),
          nextPredecessors(Settled,
                           LeftByOwnWrite ? Names : std::vector<std::string>{}),
          nextRecentViews()};
}

auto View::nextRecentViews() const -> std::vector<EarlierView> {
  std::vector<EarlierView> Next = RecentViews;
  if (Version == 0)
    return Next;
  EarlierView Last{Version, Members};
  for (Member &Entry : Last.Members) {
    Entry.ApiAddress.clear();
    Entry.PeerAddress.clear();
  }
  Next.push_back(std::move(Last));
  if (Next.size() > MaxRecentViews)
    Next.erase(Next.begin());
  return Next;
}

auto View::nextPredecessors(bool Settled,
                            std::vector<std::string> ReleasedMembers) const
    -> std::vector<PredecessorView> {
  std::vector<PredecessorView> Next;
  if (!Settled)
    Next = Predecessors;
  if (Members.empty())
    return Next;
  PredecessorView Last;
  for (const auto &Entry : Members)
    Last.MemberNames.push_back(Entry.Name);
  std::sort(ReleasedMembers.begin(), ReleasedMembers.end());
  Last.ReleasedMembers = std::move(ReleasedMembers);
  if (std::find(Next.begin(), Next.end(), Last) == Next.end())
    Next.push_back(std::move(Last));
  return Next;
}

} // namespace jayramp
