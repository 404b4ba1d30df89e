package linengauge.scale;

import java.util.List;
import linengauge.membership.explore.SimulationFigures;

/** Plays a fleet in virtual time. */
public interface FleetSimulator {
  /**
   * What was played.
   *
   * @param virtualSeconds that all runs took together
   */
  record Played(List<SimulationFigures> figures, int virtualSeconds) {}

  /** What was played, as measurements name it. */
  String subject();

  /** Names of the events that it can measure. */
  List<String> events();

  /** The smallest fleet that it plays. */
  int leastFronts();

  /** The largest fleet that it plays. */
  int mostFronts();

  /** Heap that a fleet of this size takes at the most, in bytes. */
  long heapBytes(int fronts);

  /** Plays these events; figures of others that come with them may be among what is returned. */
  Played play(int fronts, long seed, List<String> events);
}
