// Table-driven tests of endpoints' responses: which are complete, incomplete or malformed, and whether the
// status line proves that the request was delivered.
#include "response_reader.hpp"

#include <gtest/gtest.h>

namespace message_relay {
namespace {

using State = ResponseReader::State;

// Feeds the response in pieces of several sizes, which must make no difference.
void expect_response(const std::string& text, State state, bool status_line_ok, bool reusable = false) {
  for (std::size_t piece_size : {text.size(), std::size_t{1}, std::size_t{7}}) {
    ResponseReader reader;
    State reached = State::incomplete;
    for (std::size_t position = 0; position < text.size() && reached == State::incomplete;
         position += piece_size)
      reached = reader.append(text.data() + position, std::min(piece_size, text.size() - position));
    EXPECT_EQ(reached, state) << text.substr(0, 80) << " in pieces of " << piece_size;
    EXPECT_EQ(reader.status_line_ok(), status_line_ok)
        << text.substr(0, 80) << " in pieces of " << piece_size;
    EXPECT_EQ(reader.reusable(), reusable) << text.substr(0, 80);
  }
}

TEST(ResponseReaderTest, CompleteResponsesAreRecognized) {
  expect_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", State::complete, true, true);
  expect_response("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", State::complete, false, true);
  expect_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                  State::complete, true, true);
  expect_response("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", State::complete,
                  true, false);
}

// Informational (1xx) responses precede the final response; an endless series of them is malformed.
TEST(ResponseReaderTest, InformationalResponsesAreSkipped) {
  const std::string informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  expect_response(informational + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", State::complete, true,
                  true);
  expect_response(informational + "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", State::complete, false,
                  true);
  expect_response(informational, State::incomplete, false);
  expect_response("HTTP/1.1 101 Switch\r\n\r\n", State::malformed, false);
  std::string endless;
  for (int i = 0; i < 40; i++) endless += informational;
  expect_response(endless, State::malformed, false);
  ResponseReader reader;
  EXPECT_EQ(reader.append(informational.data(), informational.size()), State::incomplete);
  EXPECT_FALSE(reader.has_started());
}

// A status line with 200 proves delivery even if the rest of the response is malformed; any other status line
// proves nothing then.
TEST(ResponseReaderTest, MalformedResponsesAreRecognized) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string rejection = "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 500\r\n";
  for (const std::string& rest :
       {std::string("\x01\x02: \x03\r\n\r\n"), std::string("no colon\r\n\r\n"),
        std::string("Content-Length: 3000000000\r\n\r\nxxxx"), std::string("Content-Length: -1\r\n\r\n"),
        std::string("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        "X-A: " + std::string(20'000, 'a'), std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x20000, 'a')}) {
    expect_response(ok + rest, State::malformed, true);
    expect_response(rejection + rest, State::malformed, false);
  }
  expect_response("\x01\x02 noise\r\n\r\n", State::malformed, false);
  expect_response("HTTP/1.1 2000 OK\r\n\r\n", State::malformed, false);
  expect_response("HTTP/9.9 200 OK\r\n\r\n", State::malformed, false);
}

TEST(ResponseReaderTest, IncompleteResponsesAreRecognized) {
  expect_response("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhi", State::incomplete, true);
  expect_response("HTTP/1.1 200 OK\r\nX-A: b\r\n", State::incomplete, true);
  expect_response("HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi", State::incomplete, false);
  ResponseReader reader;
  const std::string unfinished = "HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi";
  EXPECT_EQ(reader.append(unfinished.data(), unfinished.size()), State::incomplete);
  EXPECT_EQ(reader.finish(), State::malformed);
  ResponseReader until_close;
  const std::string without_length = "HTTP/1.1 503 X\r\n\r\nhi";
  EXPECT_EQ(until_close.append(without_length.data(), without_length.size()), State::incomplete);
  EXPECT_EQ(until_close.finish(), State::complete);
  EXPECT_FALSE(until_close.reusable());
}

// Bytes that follow a response must not be taken for the response to the next request on the connection.
TEST(ResponseReaderTest, ExcessBytesMakeTheConnectionUnusable) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& excess : {response, std::string("\x01\x02"), std::string("\r\n")}) {
    ResponseReader reader;
    const std::string text = response + excess;
    EXPECT_EQ(reader.append(text.data(), text.size()), State::complete);
    EXPECT_EQ(reader.body(), "hi");
    EXPECT_FALSE(reader.reusable());
  }
}

TEST(ResponseReaderTest, InvalidLoadReportsAndRetryAfterAreIgnored) {
  std::optional<ResponseReader> reader;
  const auto read = [&reader](const std::string& head) -> const ResponseReader& {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + head + "\r\n\r\n";
    EXPECT_EQ(reader.emplace().append(text.data(), text.size()), State::complete);
    return *reader;
  };
  const auto read_report = [&read](const std::string& value) {
    return read("X-Load: x0=" + value + ",x1=" + value).load_report();
  };
  EXPECT_EQ(read("X-Load: x0=0.4,x1=25").load_report().remaining_fraction, 0.4);
  EXPECT_EQ(read("X-Load: x0=0.4,x1=25").load_report().rate_limit, 25);
  for (const std::string& invalid : {std::string("nan"), std::string("inf"), std::string("-1"),
                                     std::string("4abc"), std::string(""), std::string("1e999")}) {
    EXPECT_EQ(read_report(invalid).remaining_fraction, dispatch::LoadReport{}.remaining_fraction) << invalid;
    EXPECT_EQ(read_report(invalid).rate_limit, dispatch::LoadReport{}.rate_limit) << invalid;
    EXPECT_EQ(read("X-Come-Back-Ms: " + invalid).retry_after(), 0) << invalid;
  }
  EXPECT_EQ(read("X-Come-Back-Ms: 250").retry_after(), 250'000);
}

}  // namespace
}  // namespace message_relay
