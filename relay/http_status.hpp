// The HTTP status codes of responses to clients.
#pragma once

namespace message_relay {

inline constexpr unsigned kStatusOk = 200;
inline constexpr unsigned kStatusBadRequest = 400;
inline constexpr unsigned kStatusNotFound = 404;
inline constexpr unsigned kStatusMethodNotAllowed = 405;
inline constexpr unsigned kStatusRequestTimeout = 408;
inline constexpr unsigned kStatusPayloadTooLarge = 413;
inline constexpr unsigned kStatusHeaderTooLarge = 431;
inline constexpr unsigned kStatusUnavailable = 503;

}  // namespace message_relay
