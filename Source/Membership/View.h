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

/// The entry hosts that share the work. Immutable; safe to read from any
/// thread. The version is the version of the table row, so a transaction that
/// checks the row `membership/view` at version() is fenced by the view.
class View {
public:
  /// A start of eight hosts writes eight views within a second, and a host
  /// that is replaced three more; a host may miss all of them.
  static constexpr std::size_t MaxRecentViews = 16;

  /// The view before the first write: version 0, no members.
  View() = default;

  /// \returns InvalidArgument if a name is empty or occurs twice.
  static auto make(std::uint64_t Version, std::vector<Member> Members,
                   std::vector<PredecessorView> Predecessors = {},
                   std::vector<EarlierView> Recent = {}) -> Result<View>;

  /// Reads the text of toJson(). \p RowVersion replaces the version in the
  /// text unless it is 0. \returns InvalidArgument naming the field.
  static auto parse(std::string_view Text, std::uint64_t RowVersion = 0)
      -> Result<View>;

  auto toJson() const -> std::string;

  auto version() const -> std::uint64_t { return Version; }
  /// Sorted by name.
  auto members() const -> const std::vector<Member> & { return Members; }
  /// Earlier views that may not have ended yet when this one was written.
  auto predecessors() const -> const std::vector<PredecessorView> & {
    return Predecessors;
  }

  /// The last views before this one, oldest first, at most MaxRecentViews.
  auto recentViews() const -> const std::vector<EarlierView> & {
    return Recent;
  }

  /// The member of this name, or nullptr.
  auto find(std::string_view Name) const -> const Member *;
  auto contains(std::string_view Name, std::string_view Incarnation) const
      -> bool;
  /// Number of members that form a majority; 1 for an empty view.
  auto majority() const -> std::size_t { return Members.size() / 2 + 1; }

  /// The next view with \p Added, which replaces a member of the same name.
  /// \p Settled: this view is known to have replaced its predecessors.
  auto withMember(const Member &Added, bool Settled) const -> View;
  /// The next view without the members named. \p Released is true if the
  /// writer is the one that leaves.
  auto withoutMembers(const std::vector<std::string> &Names, bool Settled,
                      bool Released) const -> View;

  auto operator==(const View &) const -> bool = default;

private:
  View(std::uint64_t Version, std::vector<Member> Members,
       std::vector<PredecessorView> Predecessors,
       std::vector<EarlierView> Recent);

  auto nextPredecessors(bool Settled, std::vector<std::string> Released) const
      -> std::vector<PredecessorView>;
  auto nextRecent() const -> std::vector<EarlierView>;

  std::uint64_t Version = 0;
  std::vector<Member> Members;
  std::vector<PredecessorView> Predecessors;
  std::vector<EarlierView> Recent;
};

} // namespace jayramp
