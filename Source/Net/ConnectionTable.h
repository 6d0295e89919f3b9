#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <list>

namespace jayramp::net {

/// The connections of one server and which of them to close when there are too
/// many. The items are not owned.
template <typename Item> class ConnectionTable {
public:
  enum class State : std::uint8_t {
    Unused,  ///< Has never sent anything.
    Reading, ///< A request is being received.
    Idle,    ///< Waits for another request.
    Busy,    ///< A request is being answered, or the connection ends.
  };
  static constexpr std::size_t StateCount = 4;
  /// An ordinary request is received whole in this time.
  static constexpr Milliseconds SlowReadTime{500};

  /// Place of one connection in the table.
  struct Entry {
    Item *Owner = nullptr;
    State Current = State::Unused;
    TimePoint Since;
  };
  using Handle = typename std::list<Entry>::iterator;

  auto add(Item *Owner, TimePoint Now) -> Handle {
    auto &Unused = entriesIn(State::Unused);
    return Unused.insert(Unused.end(), Entry{Owner, State::Unused, Now});
  }
  auto remove(Handle Place) -> void { entriesIn(Place->Current).erase(Place); }
  auto move(Handle Place, State Next, TimePoint Now) -> void {
    auto &Target = entriesIn(Next);
    Target.splice(Target.end(), entriesIn(Place->Current), Place);
    Place->Current = Next;
    Place->Since = Now;
  }
  auto size() const -> std::size_t {
    std::size_t Sum = 0;
    for (const auto &Each : Entries)
      Sum += Each.size();
    return Sum;
  }

  /// Returns the connection to close for a new one; null if all are busy. First
  /// come those that have sent nothing for longest, then requests that arrive
  /// slowly, then the connections that are idle longest.
  auto leastUseful(TimePoint Now) -> Item * {
    const auto &Readers = entriesIn(State::Reading);
    const bool IsReaderSlow =
        !Readers.empty() && Now - Readers.front().Since >= SlowReadTime;
    if (!entriesIn(State::Unused).empty())
      return entriesIn(State::Unused).front().Owner;
    if (IsReaderSlow)
      return Readers.front().Owner;
    if (!entriesIn(State::Idle).empty())
      return entriesIn(State::Idle).front().Owner;
    return nullptr;
  }

  /// Returns the connections in a state, the oldest first.
  auto entriesIn(State Which) -> std::list<Entry> & {
    return Entries[static_cast<std::size_t>(Which)];
  }

private:
  std::list<Entry> Entries[StateCount];
};

} // namespace jayramp::net
