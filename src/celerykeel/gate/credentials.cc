#include "celerykeel/gate/credentials.h"

#include <algorithm>  // for std::find
#include <array>      // for std::array
#include <cctype>     // for std::tolower, std::isxdigit

#include "celerykeel/core/key_digest.h"    // for KeyIdOf, VerifyKey
#include "celerykeel/wire/problem_json.h"  // for Refuse

namespace celerykeel {

namespace {

constexpr std::string_view kScheme = "bearer ";
constexpr std::string_view kKeyPrefix = "ck_";

// Names are compared in lower case without '-' and '_'.
constexpr std::array<std::string_view, 15> kCredentialNames = {
    "key",          "apikey",        "xapikey",  "accesskey",    "accesstoken",
    "token",        "authtoken",     "auth",     "bearer",       "bearertoken",
    "refreshtoken", "authorization", "password", "clientsecret", "secret"};

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  return std::tolower(static_cast<unsigned char>(c)) - 'a' + 10;
}

// An endpoint decodes a parameter before it looks at it, so it is compared
// decoded: "api%5Fkey" is "api_key".
std::string Decode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0) {
      decoded +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string NormalName(std::string_view name) {
  std::string normal;
  for (const char c : Decode(name)) {
    if (c != '-' && c != '_' && c != '+' && c != ' ') {
      normal += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
  }
  return normal;
}

bool CarriesCredential(std::string_view parameter) {
  const size_t equals = parameter.find('=');
  const std::string name = NormalName(parameter.substr(0, equals));
  if (std::find(kCredentialNames.begin(), kCredentialNames.end(), name) !=
      kCredentialNames.end()) {
    return true;
  }
  return equals != std::string_view::npos &&
         Decode(parameter.substr(equals + 1)).starts_with(kKeyPrefix);
}

}  // namespace

std::string_view BearerKey(std::string_view authorization) {
  if (authorization.size() <= kScheme.size()) {
    return {};
  }
  for (size_t i = 0; i < kScheme.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(authorization[i])) !=
        kScheme[i]) {
      return {};
    }
  }
  return authorization.substr(kScheme.size());
}

tl::expected<Caller, pb::CallRefused> Authenticate(
    const Configuration& in_force,
    std::string_view authorization) {
  const std::string_view presented = BearerKey(authorization);
  if (presented.empty()) {
    return tl::unexpected(
        Refuse(pb::NO_KEY, "send the header Authorization: Bearer KEY"));
  }
  const auto id = KeyIdOf(presented);
  const auto key =
      id ? in_force.keys.find(std::string(*id)) : in_force.keys.end();
  if (key == in_force.keys.end() || !VerifyKey(key->second, presented) ||
      !in_force.teams.contains(key->second.team)) {
    return tl::unexpected(Refuse(pb::WRONG_KEY, "the key is not known"));
  }
  if (key->second.withdrawn) {
    return tl::unexpected(Refuse(pb::KEY_WITHDRAWN, "the key was withdrawn"));
  }
  return Caller{.key_id = key->first, .team = key->second.team};
}

bool KeyHolds(const Configuration& in_force, const Caller& caller) {
  const auto key = in_force.keys.find(caller.key_id);
  return key != in_force.keys.end() && !key->second.withdrawn &&
         key->second.team == caller.team &&
         in_force.teams.contains(caller.team);
}

std::string StripCredentials(std::string_view target) {
  const size_t question = target.find('?');
  std::string stripped(target.substr(0, question));
  char separator = '?';
  std::string_view query =
      question == std::string_view::npos ? "" : target.substr(question + 1);
  while (!query.empty()) {
    const size_t end = query.find_first_of("&;");
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
    if (parameter.empty() || CarriesCredential(parameter)) {
      continue;
    }
    stripped += separator;
    stripped += parameter;
    separator = '&';
  }
  return stripped;
}

}  // namespace celerykeel
