#include "celerykeel/node/delivery.h"

#include <linux/sockios.h>  // for SIOCOUTQ
#include <netinet/tcp.h>    // for TCP_INFO
#include <sys/ioctl.h>      // for ioctl
#include <sys/socket.h>     // for getsockopt

#include "celerykeel/base/clock.h"  // for Now

namespace celerykeel {

namespace {

// An endpoint that ends its answer early and reads the rest of a long request
// has this long for it.
constexpr Duration kMaxDeliveryTime = std::chrono::seconds(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(5);

bool WasReset(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

// Bytes that were written and not acknowledged; 0 if the kernel can't tell.
int BytesNotReceived(int socket) {
  int bytes = 0;
  return ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

}  // namespace

// The end of the connection acknowledges what was received before, so an
// endpoint that has read the complete request costs no wait.
Task<bool> AwaitDelivery(asio::io_context& loop, Tcp::socket& socket) {
  const Duration until = Now() + kMaxDeliveryTime;
  while (true) {
    if (!socket.is_open() || WasReset(socket.native_handle())) {
      co_return false;
    }
    if (BytesNotReceived(socket.native_handle()) == 0) {
      co_return true;
    }
    if (Now() + kPollInterval > until) {
      co_return false;
    }
    co_await Sleep(loop, kPollInterval);
  }
}

}  // namespace celerykeel
