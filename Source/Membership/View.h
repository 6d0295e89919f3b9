#pragma once

#include "Base/Result.h"
#include "Membership/EarlierView.h"
#include "Membership/Member.h"
#include "Membership/PredecessorView.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp {

/// The entry hosts that share the work, as agreed through the table row
/// `membership/view`. Immutable; safe to read from any thread. The version is
/// the version of that row, so a transaction that checks the row at version()
/// fails once a newer view has been written.
class View {
public:
  /// Limit of recentViews(). A start of eight hosts writes eight views within a
  /// second, and the replacement of a host three more; a host may miss all of
  /// them.
  static constexpr std::size_t MaxRecentViews = 16;

  /// The view before the first write: version 0, no members.
  View() = default;

  /// Creates a view; \p Members need not be sorted. \returns InvalidArgument if
  /// a name is empty or occurs twice.
  static auto make(std::uint64_t Version, std::vector<Member> Members,
                   std::vector<PredecessorView> Predecessors = {},
                   std::vector<EarlierView> RecentViews = {}) -> Result<View>;

  /// Parses the output of toJson(). \p RowVersion replaces the version in the
  /// text unless it is 0. \returns InvalidArgument if the text is not a valid
  /// view or longer than 1 MiB.
  static auto parse(std::string_view Text, std::uint64_t RowVersion = 0)
      -> Result<View>;

  auto toJson() const -> std::string;

  auto version() const -> std::uint64_t { return Version; }
  /// Returns the members, sorted by name.
  auto members() const -> const std::vector<Member> & { return Members; }
  /// Returns the earlier views under which hosts may still have been serving
  /// when this view was written.
  auto predecessors() const -> const std::vector<PredecessorView> & {
    return Predecessors;
  }

  /// Returns the last views before this one, oldest first, at most
  /// MaxRecentViews.
  auto recentViews() const -> const std::vector<EarlierView> & {
    return RecentViews;
  }

  /// Returns the member called \p Name, or nullptr.
  auto find(std::string_view Name) const -> const Member *;
  /// Returns whether this incarnation of the host \p Name is a member.
  auto contains(std::string_view Name, std::string_view Incarnation) const
      -> bool;
  /// Returns the number of members that form a majority; 1 for an empty view.
  auto majority() const -> std::size_t { return Members.size() / 2 + 1; }

  /// Returns the next view with \p Added, which replaces a member of the same
  /// name. \p Settled: no host can still serve under a predecessor of this
  /// view, so the next view need not list those predecessors.
  auto withMember(const Member &Added, bool Settled) const -> View;
  /// Returns the next view without the members \p Names. \p Settled as for
  /// withMember(); \p LeftByOwnWrite: the members named write this view
  /// themselves.
  auto withoutMembers(const std::vector<std::string> &Names, bool Settled,
                      bool LeftByOwnWrite) const -> View;

  auto operator==(const View &) const -> bool = default;

private:
  View(std::uint64_t Version, std::vector<Member> Members,
       std::vector<PredecessorView> Predecessors,
       std::vector<EarlierView> RecentViews);

  auto nextPredecessors(bool Settled,
                        std::vector<std::string> ReleasedMembers) const
      -> std::vector<PredecessorView>;
  auto nextRecentViews() const -> std::vector<EarlierView>;

  std::uint64_t Version = 0;
  std::vector<Member> Members;
  std::vector<PredecessorView> Predecessors;
  std::vector<EarlierView> RecentViews;
};

} // namespace jayramp
