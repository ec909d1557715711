#pragma once

#include <string_view>  // for std::string_view

namespace httplib {
struct Request;
}  // namespace httplib

namespace celerykeel {

/// @brief Whether a request carries what looks like a caller's credential, in
/// a header or in its query. No endpoint may ever see one.
bool HasCredential(const httplib::Request& request);

}  // namespace celerykeel
