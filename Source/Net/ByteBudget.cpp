#include "Net/ByteBudget.h"

#include <utility>

namespace jayramp::net {

ByteBudget::Share::Share(std::shared_ptr<ByteBudget> Budget)
    : Budget(std::move(Budget)) {}

ByteBudget::Share::~Share() { set(0); }

auto ByteBudget::Share::set(std::size_t Bytes) -> void {
  const bool Returns = Bytes < Held;
  Budget->Used = Budget->Used - Held + Bytes;
  Held = Bytes;
  if (Returns)
    Budget->resumeNext();
}

auto ByteBudget::Share::trySet(std::size_t Bytes) -> bool {
  if (Bytes > Held && Budget->Used - Held + Bytes > Budget->MaxBytes)
    return false;
  set(Bytes);
  return true;
}

auto ByteBudget::waitForRoom(std::function<void()> Resume) -> Ticket {
  auto Holder = std::make_shared<std::function<void()>>(std::move(Resume));
  Waiting.push_back(Holder);
  return Holder;
}

auto ByteBudget::resumeNext() -> void {
  if (Waiting.empty() || ResumePosted || Used >= MaxBytes)
    return;
  ResumePosted = true;
  Later([this, Life = std::weak_ptr<bool>(Alive)] {
    if (Life.expired())
      return;
    ResumePosted = false;
    // Each holder tries once. Those without room wait again behind the others.
    for (auto Left = Waiting.size(); Left > 0 && Used < MaxBytes; --Left) {
      const auto Next = Waiting.front().lock();
      Waiting.pop_front();
      if (Next)
        (*Next)();
    }
  });
}

} // namespace jayramp::net
