#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace jayramp::net {

/// Limit on the bytes that all connections of one server or client hold
/// together. Holders of a share wait, first come, first served, while there is
/// no room.
class ByteBudget {
public:
  /// Runs an action after the current callback has returned.
  using Post = std::function<void(std::function<void()>)>;

  /// The bytes that one connection holds; returned when it is destroyed.
  class Share {
  public:
    explicit Share(std::shared_ptr<ByteBudget> Budget);
    ~Share();
    Share(const Share &) = delete;
    auto operator=(const Share &) -> Share & = delete;

    /// Records that the connection holds \p Bytes, also beyond the limit.
    auto set(std::size_t Bytes) -> void;
    /// Records \p Bytes if there is room for them, counting what is recorded
    /// already; returns whether there was.
    auto trySet(std::size_t Bytes) -> bool;
    auto bytes() const -> std::size_t { return Held; }

  private:
    std::shared_ptr<ByteBudget> Budget;
    std::size_t Held = 0;
  };

  /// A waiting holder, which stops waiting when the object is destroyed.
  using Ticket = std::shared_ptr<std::function<void()>>;

  ByteBudget(std::size_t MaxBytes, Post Later)
      : MaxBytes(MaxBytes), Later(std::move(Later)) {}

  /// Calls \p Resume once after others have returned bytes. There may be no
  /// room for the holder then, so it tries again.
  [[nodiscard]] auto waitForRoom(std::function<void()> Resume) -> Ticket;

  auto used() const -> std::size_t { return Used; }
  auto isExceeded() const -> bool { return Used > MaxBytes; }

private:
  auto resumeNext() -> void;

  std::size_t MaxBytes;
  Post Later;
  std::size_t Used = 0;
  std::list<std::weak_ptr<std::function<void()>>> Waiting;
  bool ResumePosted = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace jayramp::net
