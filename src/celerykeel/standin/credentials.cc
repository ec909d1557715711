#include "celerykeel/standin/credentials.h"

#include <httplib.h>  // for httplib::Request

#include <algorithm>  // for std::ranges::any_of
#include <array>      // for std::array
#include <cctype>     // for std::tolower
#include <string>     // for std::string

namespace celerykeel {

namespace {

constexpr std::array kCredentialHeaders = {
    "Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Api-Key"};
constexpr std::array<std::string_view, 5> kCredentialParameters = {
    "key", "token", "secret", "password", "authorization"};

bool LooksLikeCredential(std::string name) {
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return std::ranges::any_of(kCredentialParameters, [&](std::string_view part) {
    return name.find(part) != std::string::npos;
  });
}

}  // namespace

bool HasCredential(const httplib::Request& request) {
  return std::ranges::any_of(
             kCredentialHeaders,
             [&](const char* name) { return request.has_header(name); }) ||
         std::ranges::any_of(request.params, [](const auto& parameter) {
           return LooksLikeCredential(parameter.first);
         });
}

}  // namespace celerykeel
