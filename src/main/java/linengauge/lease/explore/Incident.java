package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import linengauge.Moment;
import linengauge.lease.explore.Fault.Kind;

/** Incidents that affect a fleet; each consists of one or more simultaneous faults. */
enum Incident {
  FRONT_KILLED(Kind.KILL, false),
  FRONT_RESTARTED(Kind.RESTART, false),
  FRONT_FROZEN(Kind.FREEZE, false),
  FRONT_LOSSY(Kind.LOSS, false),
  FRONT_MUTE(Kind.MUTE, false),
  FRONT_DEAF(Kind.DEAF, false),
  CONTROL_KILLED(Kind.KILL, true),
  CONTROL_FROZEN(Kind.FREEZE, true),
  CONTROL_MUTE(Kind.MUTE, true),
  CONTROL_DEAF(Kind.DEAF, true),
  CONTROL_LOSSY(Kind.LOSS, true),
  CONTROL_DISK_FULL(Kind.DISK_FULL, true),
  /** One direction between a front and a control machine, or between two control machines. */
  WAY_CUT(Kind.CUT, true),
  /** Fronts of one zone with successive numbers lose power together. */
  RACK_KILLED(Kind.KILL, false),
  /** A zone's fronts and its control machine lose power together. */
  ZONE_LOST(Kind.KILL, false),
  REGION_CUT(Kind.REGION_CUT, false),
  TENTH_RESTARTED(Kind.RESTART, false),
  CONTROLS_GONE(Kind.KILL, true);

  /** Fronts in one rack. */
  static final int RACK = 20;

  private static final int TENTH = 10;

  private final Kind kind;
  private final boolean ofControl;

  Incident(Kind kind, boolean ofControl) {
    this.kind = kind;
    this.ofControl = ofControl;
  }

  /** The incident's faults, with the affected processes drawn at random. */
  List<Fault> faults(int fronts, Moment from, Moment to, SplittableRandom chance) {
    int target = ofControl ? chance.nextInt(Topology.CONTROLS) : chance.nextInt(fronts);
    return switch (this) {
      case WAY_CUT -> List.of(wayCut(fronts, from, to, chance));
      case RACK_KILLED -> ofParties(rack(fronts, target), from, to);
      case ZONE_LOST -> ofParties(zone(fronts, target % Topology.ZONES), from, to);
      case TENTH_RESTARTED -> ofParties(tenth(fronts, target % TENTH), from, to);
      case CONTROLS_GONE -> ofParties(range(0, Topology.CONTROLS), from, to);
      case REGION_CUT -> ofParties(List.of(target % Topology.REGIONS), from, to);
      default -> ofParties(List.of(ofControl ? target : Topology.front(target)), from, to);
    };
  }

  private List<Fault> ofParties(List<Integer> parties, Moment from, Moment to) {
    return parties.stream().map(party -> new Fault(kind, party, 0, from, to)).toList();
  }

  private Fault wayCut(int fronts, Moment from, Moment to, SplittableRandom chance) {
    int control = chance.nextInt(Topology.CONTROLS);
    boolean toFront = chance.nextBoolean();
    int other =
        toFront
            ? Topology.front(chance.nextInt(fronts))
            : (control + 1 + chance.nextInt(Topology.CONTROLS - 1)) % Topology.CONTROLS;
    boolean reverse = chance.nextBoolean();
    return new Fault(kind, reverse ? other : control, reverse ? control : other, from, to);
  }

  /** Fronts of one zone that share a rack; fewer than {@link #RACK} in a small fleet. */
  static List<Integer> rack(int fronts, int first) {
    int size = Math.min(RACK, Math.max(1, fronts / Topology.ZONES / 2));
    List<Integer> all = new ArrayList<>();
    for (int i = first % Topology.ZONES; i < fronts && all.size() < size; i += Topology.ZONES) {
      all.add(Topology.front(i));
    }
    return all;
  }

  /** The zone's fronts and its control machine. */
  static List<Integer> zone(int fronts, int zone) {
    List<Integer> all = new ArrayList<>(List.of(zone));
    IntStream.range(0, fronts)
        .map(Topology::front)
        .filter(front -> Topology.zone(front) == zone)
        .forEach(all::add);
    return all;
  }

  /** Every tenth front. */
  static List<Integer> tenth(int fronts, int which) {
    return IntStream.range(0, fronts)
        .filter(i -> i % TENTH == which)
        .mapToObj(Topology::front)
        .toList();
  }

  private static List<Integer> range(int from, int to) {
    return IntStream.range(from, to).boxed().toList();
  }
}
