package linengauge.scale.hollow;

import java.nio.file.Path;
import java.util.List;
import linengauge.Span;
import linengauge.lease.LeaseSettings;
import linengauge.membership.MembershipSettings;

/**
 * What is run with hollow fronts.
 *
 * @param methods which fleets run, each in processes of its own; all of them at the same time
 * @param followersEach every so many fronts one follows the log over TCP as well; 0: none
 * @param events what happens after the quiet phase, in order, each a phase of its own
 * @param heapMb of each process
 */
public record HollowPlan(
    List<Method> methods,
    Fleet fleet,
    int followersEach,
    LeaseSettings lease,
    MembershipSettings gossip,
    Times times,
    List<HollowEvent> events,
    int heapMb,
    Machine machine) {
  /** How the fronts know of each other. */
  public enum Method {
    LEASE,
    GOSSIP
  }

  /**
   * How many of what.
   *
   * @param fronts of each method's fleet
   * @param processes that share the fronts of one fleet; each holds fronts of one zone
   * @param controlMachines of the lease fleet, in zones in turn
   * @param voters of the control machines, the first so many
   */
  public record Fleet(
      int fronts, int zones, int regions, int processes, int controlMachines, int voters) {
    /** 6 zones of 3 regions, 6 control machines of which 5 vote. */
    public static Fleet of(int fronts, int processes) {
      return new Fleet(fronts, 6, 3, processes, 6, 5);
    }

    int zoneOfProcess(int process) {
      return process % zones;
    }

    int regionOfZone(int zone) {
      return zone * regions / zones;
    }

    /** Fronts before this process's. */
    int firstFront(int process) {
      return (int) ((long) fronts * process / processes);
    }

    int processOf(int front) {
      int process = 0;
      while (firstFront(process + 1) <= front) {
        process++;
      }
      return process;
    }
  }

  /**
   * How long what takes.
   *
   * @param settle after all know all, before the quiet phase
   * @param quiet how long the phase without events lasts
   * @param longestWait how long at most each phase waits until all know what it changed
   */
  public record Times(Span settle, Span quiet, Span longestWait) {}

  /**
   * Where it runs.
   *
   * @param folder for stores, logs and the key
   * @param firstPort of the range of ports on loopback that the run uses: one for each front, two
   *     for each control machine
   */
  public record Machine(Path folder, int firstPort) {}
}
