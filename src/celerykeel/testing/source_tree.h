#pragma once

#include <filesystem>   // for std::filesystem::path
#include <fstream>      // for std::ifstream
#include <iterator>     // for std::istreambuf_iterator
#include <string>       // for std::string
#include <string_view>  // for std::string_view

namespace celerykeel {

/// @brief Searches for a file of the source tree in the working directory and
/// its parents, because tests run from the root or from a build folder. Returns
/// an empty path if there is none.
inline std::filesystem::path SourcePath(std::string_view relative) {
  std::filesystem::path folder = std::filesystem::current_path();
  while (!std::filesystem::exists(folder / relative)) {
    if (folder == folder.parent_path()) {
      return {};
    }
    folder = folder.parent_path();
  }
  return folder / relative;
}

inline std::string ReadWholeFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace celerykeel
