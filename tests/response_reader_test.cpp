// Responses of endpoints, by table: which are complete, which are malformed, and what their status line
// proves.
#include "response_reader.hpp"

#include <gtest/gtest.h>

namespace message_relay {
namespace {

using State = ResponseReader::State;

// The response arrives in pieces of several sizes, which must make no difference.
void expect(const std::string& text, State state, bool ok, bool reusable = false) {
  for (std::size_t piece : {text.size(), std::size_t{1}, std::size_t{7}}) {
    ResponseReader reader;
    State got = State::incomplete;
    for (std::size_t at = 0; at < text.size() && got == State::incomplete; at += piece)
      got = reader.append(text.data() + at, std::min(piece, text.size() - at));
    EXPECT_EQ(got, state) << text.substr(0, 80) << " in pieces of " << piece;
    EXPECT_EQ(reader.status_line_ok(), ok) << text.substr(0, 80) << " in pieces of " << piece;
    EXPECT_EQ(reader.reusable(), reusable) << text.substr(0, 80);
  }
}

TEST(ResponseReaderTest, CompleteResponses) {
  expect("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", State::complete, true, true);
  expect("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", State::complete, false, true);
  expect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", State::complete, true,
         true);
  expect("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", State::complete, true, false);
}

// Informational (1xx) responses precede the one that counts; an endless series of them is malformed.
TEST(ResponseReaderTest, InformationalResponses) {
  const std::string ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
  expect(ahead + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", State::complete, true, true);
  expect(ahead + "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", State::complete, false, true);
  expect(ahead, State::incomplete, false);
  expect("HTTP/1.1 101 Switch\r\n\r\n", State::malformed, false);
  std::string endless;
  for (int i = 0; i < 40; i++) endless += ahead;
  expect(endless, State::malformed, false);
  ResponseReader reader;
  EXPECT_EQ(reader.append(ahead.data(), ahead.size()), State::incomplete);
  EXPECT_FALSE(reader.has_started());
}

// A status line of 200 before noise still proves delivery; any other one before noise proves nothing.
TEST(ResponseReaderTest, MalformedResponses) {
  const std::string ok = "HTTP/1.1 200 OK\r\n", full = "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 500\r\n";
  for (const std::string& rest :
       {std::string("\x01\x02: \x03\r\n\r\n"), std::string("no colon\r\n\r\n"),
        std::string("Content-Length: 3000000000\r\n\r\nxxxx"), std::string("Content-Length: -1\r\n\r\n"),
        std::string("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        "X-A: " + std::string(20'000, 'a'), std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x20000, 'a')}) {
    expect(ok + rest, State::malformed, true);
    expect(full + rest, State::malformed, false);
  }
  expect("\x01\x02 noise\r\n\r\n", State::malformed, false);
  expect("HTTP/1.1 2000 OK\r\n\r\n", State::malformed, false);
  expect("HTTP/9.9 200 OK\r\n\r\n", State::malformed, false);
}

TEST(ResponseReaderTest, IncompleteResponses) {
  expect("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhi", State::incomplete, true);
  expect("HTTP/1.1 200 OK\r\nX-A: b\r\n", State::incomplete, true);
  expect("HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi", State::incomplete, false);
  ResponseReader reader;
  const std::string half = "HTTP/1.1 429 X\r\nContent-Length: 10\r\n\r\nhi";
  EXPECT_EQ(reader.append(half.data(), half.size()), State::incomplete);
  EXPECT_EQ(reader.finish(), State::malformed);
  ResponseReader to_the_end;
  const std::string open = "HTTP/1.1 503 X\r\n\r\nhi";
  EXPECT_EQ(to_the_end.append(open.data(), open.size()), State::incomplete);
  EXPECT_EQ(to_the_end.finish(), State::complete);
  EXPECT_FALSE(to_the_end.reusable());
}

// What follows a response must not be taken for the response to the next request.
TEST(ResponseReaderTest, ExcessBytesMakeTheConnectionUnusable) {
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& behind : {one, std::string("\x01\x02"), std::string("\r\n")}) {
    ResponseReader reader;
    const std::string text = one + behind;
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
  for (const std::string& bad : {std::string("nan"), std::string("inf"), std::string("-1"),
                                 std::string("4abc"), std::string(""), std::string("1e999")}) {
    EXPECT_EQ(read_report(bad).remaining_fraction, dispatch::LoadReport{}.remaining_fraction) << bad;
    EXPECT_EQ(read_report(bad).rate_limit, dispatch::LoadReport{}.rate_limit) << bad;
    EXPECT_EQ(read("X-Come-Back-Ms: " + bad).retry_after(), 0) << bad;
  }
  EXPECT_EQ(read("X-Come-Back-Ms: 250").retry_after(), 250'000);
}

}  // namespace
}  // namespace message_relay
