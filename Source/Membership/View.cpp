#include "Membership/View.h"

#include <cpprest/json.h>

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

using web::json::value;

// A limit on the text keeps a damaged row from exhausting the memory.
constexpr std::size_t LongestText = 1 << 20;

auto invalid(std::string Place, std::string Detail) -> Error {
  return Error::make(ErrorKind::InvalidArgument, std::move(Place),
                     std::move(Detail),
                     "repair the row membership/view or remove it while every "
                     "entry host is stopped");
}

auto text(const value &Object, const char *Field) -> std::string {
  return Object.at(Field).as_string();
}

auto names(const value &Array) -> std::vector<std::string> {
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
  std::string State = text(Object, "state");
  if (State != "serving" && State != "leaving")
    throw web::json::json_exception("state is neither serving nor leaving");
  return State == "leaving" ? MemberState::Leaving : MemberState::Serving;
}

auto stateText(const Member &Source) -> value {
  return value::string(Source.State == MemberState::Leaving ? "leaving"
                                                            : "serving");
}

auto parseEarlier(const value &Object) -> EarlierView {
  EarlierView Result;
  Result.Version = Object.at("version").as_number().to_uint64();
  for (const auto &Entry : Object.at("members").as_array())
    Result.Members.push_back(
        {.Name = text(Entry, "name"),
         .Incarnation = text(Entry, "incarnation"),
         .ApiAddress = {},
         .PeerAddress = {},
         .AvailabilityZone = text(Entry, "availability_zone"),
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
    Object["state"] = stateText(Entry);
    Members.push_back(Object);
  }
  value Object = value::object();
  Object["version"] = value::number(Source.Version);
  Object["members"] = value::array(std::move(Members));
  return Object;
}

auto parseMember(const value &Object) -> Member {
  return {.Name = text(Object, "name"),
          .Incarnation = text(Object, "incarnation"),
          .ApiAddress = text(Object, "api_address"),
          .PeerAddress = text(Object, "peer_address"),
          .AvailabilityZone = text(Object, "availability_zone"),
          .State = parseState(Object)};
}

auto toJsonValue(const Member &Source) -> value {
  value Object = value::object();
  Object["name"] = value::string(Source.Name);
  Object["incarnation"] = value::string(Source.Incarnation);
  Object["api_address"] = value::string(Source.ApiAddress);
  Object["peer_address"] = value::string(Source.PeerAddress);
  Object["availability_zone"] = value::string(Source.AvailabilityZone);
  Object["state"] = stateText(Source);
  return Object;
}

} // namespace

View::View(std::uint64_t Version, std::vector<Member> Members,
           std::vector<PredecessorView> Predecessors,
           std::vector<EarlierView> Recent)
    : Version(Version), Members(std::move(Members)),
      Predecessors(std::move(Predecessors)), Recent(std::move(Recent)) {}

auto View::make(std::uint64_t Version, std::vector<Member> Members,
                std::vector<PredecessorView> Predecessors,
                std::vector<EarlierView> Recent) -> Result<View> {
  std::sort(Members.begin(), Members.end(),
            [](const Member &A, const Member &B) { return A.Name < B.Name; });
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    std::string Place = "members[" + std::to_string(Index) + "].name";
    if (Members[Index].Name.empty())
      return invalid(Place, "is empty");
    if (Index > 0 && Members[Index - 1].Name == Members[Index].Name)
      return invalid(Place, "occurs twice: " + Members[Index].Name);
  }
  return View(Version, std::move(Members), std::move(Predecessors),
              std::move(Recent));
}

auto View::parse(std::string_view Text, std::uint64_t RowVersion)
    -> Result<View> {
  if (Text.size() > LongestText)
    return invalid("view", "is longer than 1 MiB");
  try {
    value Object = value::parse(std::string(Text));
    std::vector<Member> Members;
    for (const auto &Entry : Object.at("members").as_array())
      Members.push_back(parseMember(Entry));
    std::vector<PredecessorView> Predecessors;
    for (const auto &Entry : Object.at("predecessors").as_array())
      Predecessors.push_back(
          {names(Entry.at("names")), names(Entry.at("released"))});
    std::vector<EarlierView> Recent;
    // Rows that were written before the field existed lack it.
    if (Object.has_field("recent"))
      for (const auto &Entry : Object.at("recent").as_array())
        Recent.push_back(parseEarlier(Entry));
    std::uint64_t Version = Object.at("version").as_number().to_uint64();
    return make(RowVersion == 0 ? Version : RowVersion, std::move(Members),
                std::move(Predecessors), std::move(Recent));
  } catch (const std::exception &Failure) {
    return invalid("view", Failure.what());
  }
}

auto View::toJson() const -> std::string {
  value Object = value::object();
  Object["version"] = value::number(Version);
  std::vector<value> Entries;
  for (const auto &Entry : Members)
    Entries.push_back(toJsonValue(Entry));
  Object["members"] = value::array(std::move(Entries));
  std::vector<value> Earlier;
  for (const auto &Entry : Predecessors) {
    value Group = value::object();
    Group["names"] = toJsonArray(Entry.Names);
    Group["released"] = toJsonArray(Entry.Released);
    Earlier.push_back(Group);
  }
  Object["predecessors"] = value::array(std::move(Earlier));
  std::vector<value> Past;
  for (const auto &Entry : Recent)
    Past.push_back(toJsonValue(Entry));
  Object["recent"] = value::array(std::move(Past));
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
          nextRecent()};
}

auto View::withoutMembers(const std::vector<std::string> &Names, bool Settled,
                          bool Released) const -> View {
  std::vector<Member> Next;
  for (const auto &Entry : Members)
    if (std::find(Names.begin(), Names.end(), Entry.Name) == Names.end())
      Next.push_back(Entry);
  return {
      Version + 1, std::move(Next),
      nextPredecessors(Settled, Released ? Names : std::vector<std::string>{}),
      nextRecent()};
}

auto View::nextRecent() const -> std::vector<EarlierView> {
  std::vector<EarlierView> Next = Recent;
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
                            std::vector<std::string> Released) const
    -> std::vector<PredecessorView> {
  std::vector<PredecessorView> Next;
  if (!Settled)
    Next = Predecessors;
  if (Members.empty())
    return Next;
  PredecessorView Last;
  for (const auto &Entry : Members)
    Last.Names.push_back(Entry.Name);
  std::sort(Released.begin(), Released.end());
  Last.Released = std::move(Released);
  if (std::find(Next.begin(), Next.end(), Last) == Next.end())
    Next.push_back(std::move(Last));
  return Next;
}

} // namespace jayramp
