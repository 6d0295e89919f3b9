#pragma once

#include "Base/Clock.h"
#include "LoopbackPort.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::test {

/// One process that serves HTTP on a loopback port, over real sockets and on
/// the event loop of the test. When it is destroyed, its connections end, and
/// another process can listen on the port at once.
class LoopbackProcess {
public:
  struct Answer {
    net::HttpResponse Response;
    Milliseconds Delay{0};
    bool ClosesConnection = false; ///< Announced in the response.
  };
  /// Returns the answer to a request that has arrived whole; none if it stays
  /// unanswered.
  using Handler = std::function<std::optional<Answer>(const std::string &Path,
                                                      const std::string &Body)>;

  LoopbackProcess(net::EventLoop &Loop, const LoopbackPort &Port,
                  Handler OnRequest)
      : Listening(std::make_shared<Listener>(Loop.context(), Port.endpoint(),
                                             std::move(OnRequest))) {
    Listening->accept();
  }
  ~LoopbackProcess() {
    stopListening();
    closeConnections();
  }
  LoopbackProcess(const LoopbackProcess &) = delete;
  auto operator=(const LoopbackProcess &) -> LoopbackProcess & = delete;

  /// Keeps the connections, but accepts no more.
  auto stopListening() -> void { Listening->Acceptor.close(); }
  auto closeConnections() -> void {
    for (const auto &Each : Listening->Connections)
      Each->close();
    Listening->Connections.clear();
  }
  /// Returns the number of connections accepted since the start.
  auto acceptedConnections() const -> unsigned { return Listening->Accepted; }

private:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  /// Reads requests one at a time and answers each.
  class Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(Tcp::socket Accepted, Handler OnRequest)
        : Socket(std::move(Accepted)), AnswerTimer(Socket.get_executor()),
          OnRequest(std::move(OnRequest)) {}

    auto receive() -> void {
      Request = {};
      boost::beast::http::async_read(
          Socket, Buffer, Request,
          [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
            if (!Failure && Self->Socket.is_open())
              Self->answer();
          });
    }
    auto close() -> void {
      AnswerTimer.cancel();
      ErrorCode Ignored; // The peer may have closed the connection.
      Socket.close(Ignored);
    }

  private:
    auto answer() -> void {
      const auto Given =
          OnRequest(std::string(Request.target()), Request.body());
      if (!Given || !Socket.is_open())
        return;
      Response = {};
      Response.version(11);
      Response.result(Given->Response.Status);
      Response.keep_alive(!Given->ClosesConnection);
      Response.body() = Given->Response.Body;
      Response.prepare_payload();
      if (Given->Delay == Milliseconds(0)) {
        send();
        return;
      }
      AnswerTimer.expires_after(Given->Delay);
      AnswerTimer.async_wait([Self = shared_from_this()](ErrorCode Failure) {
        if (!Failure && Self->Socket.is_open())
          Self->send();
      });
    }
    auto send() -> void {
      boost::beast::http::async_write(
          Socket, Response,
          [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
            if (Failure || !Self->Response.keep_alive())
              Self->close();
            else if (Self->Socket.is_open())
              Self->receive();
          });
    }

    Tcp::socket Socket;
    boost::asio::steady_timer AnswerTimer;
    Handler OnRequest;
    boost::beast::flat_buffer Buffer;
    boost::beast::http::request<boost::beast::http::string_body> Request;
    boost::beast::http::response<boost::beast::http::string_body> Response;
  };

  struct Listener : public std::enable_shared_from_this<Listener> {
    Listener(boost::asio::io_context &Context, const Tcp::endpoint &Endpoint,
             Handler OnRequest)
        : Acceptor(Context, Endpoint), OnRequest(std::move(OnRequest)) {}

    auto accept() -> void {
      Acceptor.async_accept([Self = shared_from_this()](ErrorCode Failure,
                                                        Tcp::socket Socket) {
        if (Failure || !Self->Acceptor.is_open())
          return;
        ++Self->Accepted;
        Self->Connections.push_back(
            std::make_shared<Connection>(std::move(Socket), Self->OnRequest));
        Self->Connections.back()->receive();
        Self->accept();
      });
    }

    Tcp::acceptor Acceptor;
    Handler OnRequest;
    std::vector<std::shared_ptr<Connection>> Connections;
    unsigned Accepted = 0;
  };

  std::shared_ptr<Listener> Listening;
};

} // namespace jayramp::test
