#include "celerykeel/net/http_server.h"

#include <doctest/doctest.h>
#include <httplib.h>  // for httplib::Request, httplib::Response

#include <atomic>  // for std::atomic
#include <thread>  // for std::this_thread::sleep_for

#include "celerykeel/net/raw_connection_unittest.h"  // for RawConnection

namespace celerykeel {
namespace {

using std::chrono::milliseconds;
using testing::RawConnection;

const std::string kAddress = testing::FreeAddress();

/// Echoes bodies; a path "/wait" is held until `release`.
struct EchoServer {
  explicit EchoServer(HttpServerOptions limits = {.threads = 4}) {
    limits.max_body_bytes = 1024;
    this->server =
        HttpServer::Create(
            {.listen = kAddress,
             .limits = limits,
             .handler =
                 [this](const httplib::Request& request,
                        httplib::Response& response) {
                   ++this->handled;
                   while (request.path == "/wait" && !this->release.load() &&
                          CallerIsConnected()) {
                     std::this_thread::sleep_for(milliseconds(5));
                   }
                   response.set_content("echo " + request.body, "text/plain");
                 },
             .on_error =
                 [](int status, httplib::Response& response) {
                   response.set_content("problem " + std::to_string(status),
                                        "text/plain");
                 },
             .busy_answer = "busy"})
            .value();
  }

  std::atomic<int> handled{0};
  std::atomic<bool> release{false};
  std::unique_ptr<HttpServer> server;
};

std::string Exchange(std::string_view request, bool& closed) {
  RawConnection connection(kAddress);
  connection.Send(request);
  return connection.ReadAll(closed);
}

TEST_CASE("a body whose end is ambiguous is refused and nothing follows it") {
  const EchoServer echo;
  for (const std::string_view headers :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: -1\r\n",
        "Content-Length: +5\r\n", "Content-Length: 5x\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n"}) {
    CAPTURE(headers);
    bool closed = false;
    const std::string answer =
        Exchange("POST /a HTTP/1.1\r\nHost: x\r\n" + std::string(headers) +
                     "\r\nPOST /smuggled HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                 closed);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(answer.find("problem 400") != std::string::npos);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(closed);
  }
  CHECK(echo.handled.load() == 0);
}

TEST_CASE("a body over the limit is refused, with a length and in chunks") {
  const EchoServer echo;
  bool closed = false;
  const std::string body(2048, 'x');
  CHECK(Exchange("POST /a HTTP/1.1\r\nContent-Length: 2048\r\n\r\n" + body,
                 closed)
            .find("problem 413") != std::string::npos);
  const std::string answer =
      Exchange("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" +
                   body + "\r\n0\r\n\r\n",
               closed);
  CHECK(answer.starts_with("HTTP/1.1 413"));
  std::string endless =
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 200; ++i) {
    endless += "800\r\n" + body + "\r\n";
  }
  const std::string cut = Exchange(endless, closed);
  CHECK(cut.starts_with("HTTP/1.1 413"));
  CHECK(cut.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(closed);
  CHECK(echo.handled.load() == 0);
}

TEST_CASE("malformed and oversized heads are refused") {
  const EchoServer echo;
  bool closed = false;
  CHECK(Exchange("nonsense\r\n\r\n", closed).starts_with("HTTP/1.1 400"));
  CHECK(closed);
  CHECK(Exchange("GET /" + std::string(5000, 'a') + " HTTP/1.1\r\n\r\n", closed)
            .starts_with("HTTP/1.1 414"));
  CHECK(Exchange("GET /?q=" + std::string(5000, 'a') + " HTTP/1.1\r\n\r\n",
                 closed)
            .starts_with("HTTP/1.1 414"));
  CHECK(Exchange("GET / HTTP/1.1\r\nA: " + std::string(9000, 'a') + "\r\n\r\n",
                 closed)
            .starts_with("HTTP/1.1 4"));
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 20; ++i) {
    many += "H" + std::to_string(i) + ": " + std::string(4000, 'a') + "\r\n";
  }
  CHECK(Exchange(many + "\r\n", closed).starts_with("HTTP/1.1 431"));
  CHECK(Exchange("POST / HTTP/1.1\r\nContent-Encoding: gzip\r\n"
                 "Content-Length: 1\r\n\r\nx",
                 closed)
            .starts_with("HTTP/1.1 415"));
  CHECK(echo.handled.load() == 0);
}

TEST_CASE("a request that drips in ends at its deadline as a whole") {
  const EchoServer echo({.threads = 4, .read_timeout = milliseconds(200)});
  for (const std::string_view start :
       {"GET / HTTP/1.1\r\nA: ",
        "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n"}) {
    RawConnection slow(kAddress);
    slow.Send(start);
    // Each byte comes well inside a time-out that ran anew for each read.
    bool open = true;
    for (int i = 0; i < 500 && open; ++i) {
      std::this_thread::sleep_for(milliseconds(20));
      open = slow.Send("x");
    }
    CHECK_FALSE(open);
  }
  CHECK(echo.handled.load() == 0);
}

TEST_CASE("a method with no body needs no length, and a form stays whole") {
  const EchoServer echo;
  RawConnection connection(kAddress);
  connection.Send("DELETE /a HTTP/1.1\r\n\r\n");
  CHECK(connection.ReadUntil("echo ").find("200 OK") != std::string::npos);
  connection.Send(
      "POST /a HTTP/1.1\r\nContent-Length: 7\r\n"
      "Content-Type: application/x-www-form-urlencoded\r\n\r\na=1&b=2");
  CHECK(connection.ReadUntil("a=1&b=2").find("echo a=1&b=2") !=
        std::string::npos);
}

TEST_CASE("connections beyond the threads are refused at once") {
  EchoServer echo({.threads = 2});
  RawConnection first(kAddress);
  RawConnection second(kAddress);
  first.Send("GET /wait HTTP/1.1\r\n\r\n");
  second.Send("GET /wait HTTP/1.1\r\n\r\n");
  while (echo.handled.load() < 2) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  RawConnection third(kAddress);
  third.Send("GET /a HTTP/1.1\r\n\r\n");
  const std::string answer = third.ReadUntil("busy");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: 1") != std::string::npos);
  CHECK(echo.server->Count().refused == 1);
  echo.release.store(true);
  CHECK(first.ReadUntil("echo").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a handler sees that its caller has gone") {
  EchoServer echo;
  {
    RawConnection connection(kAddress);
    connection.Send("GET /wait HTTP/1.1\r\n\r\n");
    while (echo.handled.load() < 1) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  while (echo.server->Count().connections > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK_FALSE(echo.release.load());
}

TEST_CASE("stopping lets a running request finish") {
  EchoServer echo;
  RawConnection connection(kAddress);
  connection.Send("GET /wait HTTP/1.1\r\n\r\n");
  while (echo.handled.load() < 1) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  std::thread stopper([&echo] { echo.server->Stop(); });
  std::this_thread::sleep_for(milliseconds(50));
  echo.release.store(true);
  bool closed = false;
  CHECK(connection.ReadAll(closed).find("echo ") != std::string::npos);
  CHECK(closed);
  stopper.join();
}

}  // namespace
}  // namespace celerykeel
