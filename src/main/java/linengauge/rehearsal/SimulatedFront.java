package linengauge.rehearsal;

import linengauge.platform.PlatformFront;

/** One front of a simulated fleet, across its restarts. */
final class SimulatedFront {
  /** Counts its starts. */
  int incarnation;

  SimulatedNet net;

  /** Null before its first start. */
  PlatformFront front;

  /** Whether viewers reach it. */
  boolean inService;

  /** The share of all viewers that it receives. */
  double trafficShare;
}
