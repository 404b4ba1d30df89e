package linengauge.scale.hollow;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import linengauge.lease.ControlMachine;
import linengauge.membership.Member;

/** Which number, address and place each part of a run has. */
record HollowPorts(HollowPlan.Fleet fleet, int firstPort) {
  /** Control machines have the numbers below. */
  static final int FIRST_FRONT = 16;

  private static final int FLEETS = 2;
  private static final String HERE = "127.0.0.1:";

  /** How many ports the run takes. */
  int count() {
    return FLEETS * fleet.fronts() + 2 * fleet.controlMachines();
  }

  private int frontPort(HollowPlan.Method method, int front) {
    return firstPort + (method == HollowPlan.Method.LEASE ? 0 : fleet.fronts()) + front;
  }

  private int controlPort(int machine) {
    return firstPort + FLEETS * fleet.fronts() + machine;
  }

  int logPort(int machine) {
    return controlPort(machine) + fleet.controlMachines();
  }

  Member member(HollowPlan.Method method, int front) {
    int zone = fleet.zoneOfProcess(fleet.processOf(front));
    return new Member(
        FIRST_FRONT + front, HERE + frontPort(method, front), zone, fleet.regionOfZone(zone));
  }

  int regionOfMachine(int machine) {
    return fleet.regionOfZone(machine % fleet.zones());
  }

  List<ControlMachine> machines() {
    List<ControlMachine> all = new ArrayList<>();
    for (int i = 0; i < fleet.controlMachines(); i++) {
      all.add(new ControlMachine(i, regionOfMachine(i), HERE + controlPort(i)));
    }
    return all;
  }

  TreeMap<Integer, String> voters() {
    TreeMap<Integer, String> all = new TreeMap<>();
    for (int i = 0; i < fleet.voters(); i++) {
      all.put(i, HERE + logPort(i));
    }
    return all;
  }

  /** The region of whoever has that port, or -1. */
  int regionOf(int port) {
    int at = port - firstPort;
    if (at < 0 || at >= count()) {
      return -1;
    }
    if (at < FLEETS * fleet.fronts()) {
      return fleet.regionOfZone(fleet.zoneOfProcess(fleet.processOf(at % fleet.fronts())));
    }
    return regionOfMachine((at - FLEETS * fleet.fronts()) % fleet.controlMachines());
  }
}
