package linengauge.scale;

import java.util.List;
import linengauge.membership.explore.SimulationFigures;

/** Plays a fleet in virtual time. */
public interface FleetSimulator {
  /** What the events are called; one of them may be asked for alone. */
  List<String> events();

  /** The smallest fleet that it plays. */
  int leastFronts();

  /** The largest fleet that it plays. */
  int mostFronts();

  /** Heap that a fleet of this size takes at the most, in bytes. */
  long heapBytes(int fronts);

  /** Plays one run: the figures of each event of which this is one. */
  List<SimulationFigures> play(int fronts, long seed, String event);
}
