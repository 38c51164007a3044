// An endpoint as service discovery lists it.
#pragma once

#include "dispatch/types.hpp"

namespace dispatch {

/// Whether an endpoint may be sent new calls.
enum class EndpointStatus {
  active,    ///< serves
  draining,  ///< finishes the calls it has; takes no new ones
  removed    ///< no longer listed
};

/// One entry of the endpoint list.
struct Endpoint {
  EndpointId id;                  ///< its name, unique in the list
  DestinationId destination = 0;  ///< whose messages it takes
  int zone = 0;                   ///< position in the caller's list of zones
  int kind = 0;                   ///< position in Settings::kinds; beyond its end: the default KindSettings
  EndpointStatus status = EndpointStatus::active;
  double weight = 1;  ///< as Settings::weights says; a hint of calls a second where it says so
  Time added_at = 0;  ///< when it was added; 0: long ago
};

}  // namespace dispatch
