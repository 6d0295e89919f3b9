#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace jayramp {

/// Damages messages in random places.
class MessageMutator {
public:
  explicit MessageMutator(std::uint32_t Seed) : Random(Seed) {}

  auto mutate(std::string Text) -> std::string {
    for (auto Left = 1 + below(4); Left > 0; --Left)
      mutateOnce(Text);
    return Text;
  }

  auto below(std::size_t Limit) -> std::size_t { return Random() % Limit; }

private:
  auto mutateOnce(std::string &Text) -> void {
    static const std::vector<std::string> Tokens{
        "null",       "-1",
        "1e308",      "[]",
        "{}",         "\"\"",
        "true",       "9007199254740993",
        "4294967296", std::string(1, '\0'),
        "\xff"};
    const auto At = Text.empty() ? 0 : below(Text.size());
    switch (below(5)) {
    case 0:
      if (!Text.empty())
        Text[At] = static_cast<char>(below(256));
      break;
    case 1:
      Text.erase(At, 1 + below(8));
      break;
    case 2:
      Text.insert(At, Tokens[below(Tokens.size())]);
      break;
    case 3:
      Text.insert(At, Text.substr(below(Text.size() + 1), 1 + below(16)));
      break;
    default:
      Text.resize(At);
    }
  }

  std::mt19937 Random;
};

/// Returns the number in the environment variable \p Name, or \p Default.
inline auto environmentNumber(const char *Name, std::uint32_t Default)
    -> std::uint32_t {
  const auto *Text = std::getenv(Name);
  return Text ? static_cast<std::uint32_t>(std::strtoul(Text, nullptr, 10))
              : Default;
}

} // namespace jayramp
