package linengauge.lease.explore;

import java.util.List;
import java.util.stream.IntStream;
import linengauge.lease.ControlMachine;
import linengauge.membership.Member;

/**
 * Placement of the processes: six zones in three regions, one control machine in each zone, and the
 * fronts assigned to the zones in turn. Control machines have the lowest numbers; the last of them
 * has no vote.
 */
final class Topology {
  static final int REGIONS = 3;
  static final int ZONES = 6;
  static final int CONTROLS = ZONES;
  static final int VOTERS = 5;

  /** The lowest number of a front. */
  static final int FIRST_FRONT = 16;

  private Topology() {}

  static boolean isControl(int party) {
    return party < FIRST_FRONT;
  }

  static int zone(int party) {
    return isControl(party) ? party : (party - FIRST_FRONT) % ZONES;
  }

  static int region(int party) {
    return zone(party) * REGIONS / ZONES;
  }

  static int front(int index) {
    return FIRST_FRONT + index;
  }

  static int index(int front) {
    return front - FIRST_FRONT;
  }

  static String address(int party) {
    return "10." + region(party) + "." + party / 250 + "." + (party % 250 + 1) + ":7000";
  }

  static Member member(int front) {
    return new Member(front, address(front), zone(front), region(front));
  }

  static List<ControlMachine> controls() {
    return IntStream.range(0, CONTROLS)
        .mapToObj(i -> new ControlMachine(i, region(i), address(i)))
        .toList();
  }
}
