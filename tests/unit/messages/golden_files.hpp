#pragma once
// Access to the files of golden data; existing ones are never overwritten.
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "unit/catch.hpp"

namespace mosskeel::golden {

inline std::filesystem::path data_directory() {
  return std::filesystem::path(SOURCE_DIR) / "tests" / "data";
}

inline std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

/// Bytes as hexadecimal digits, 32 bytes a line.
inline std::string to_hex_lines(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  static constexpr size_t kBytesPerLine = 32;
  std::string text;
  for (size_t position = 0; position < bytes.size(); ++position) {
    auto byte = static_cast<unsigned char>(bytes[position]);
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
    bool line_is_full = position % kBytesPerLine == kBytesPerLine - 1;
    if (line_is_full || position + 1 == bytes.size())
      text += '\n';
  }
  return text;
}

/// The reverse of `to_hex_lines`.
inline std::string from_hex_lines(const std::string& text) {
  std::string digits;
  for (char character : text)
    if (character != '\n')
      digits += character;
  REQUIRE(digits.size() % 2 == 0);
  std::string bytes;
  for (size_t position = 0; position < digits.size(); position += 2) {
    size_t parsed = 0;
    auto byte = std::stoul(digits.substr(position, 2), &parsed, 16);
    REQUIRE(parsed == 2);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

/// The bytes of one golden file, for example "messages/24-request.hex".
inline std::string read_golden_bytes(const std::string& name) {
  auto path = data_directory() / name;
  INFO("golden file " << name);
  REQUIRE(std::filesystem::exists(path));
  return from_hex_lines(read_file(path));
}

/// Writes a golden file if it does not exist yet.
inline void write_golden_bytes_once(const std::string& name, const std::string& bytes) {
  auto path = data_directory() / name;
  if (std::filesystem::exists(path))
    return;
  std::filesystem::create_directories(path.parent_path());
  std::ofstream file(path, std::ios::binary);
  file << to_hex_lines(bytes);
  REQUIRE(file.good());
}

}  // namespace mosskeel::golden
