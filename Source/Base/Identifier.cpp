#include "Base/Identifier.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>

namespace jayramp {

auto makeIdentifier() -> std::string {
  thread_local boost::uuids::random_generator Generator;
  std::string Text = boost::uuids::to_string(Generator());
  Text.erase(std::remove(Text.begin(), Text.end(), '-'), Text.end());
  return Text;
}

} // namespace jayramp
