package linengauge.membership.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;

/**
 * What befalls a fleet: troubles, then quiet until all has come round.
 *
 * @param fronts how many, in so many zones by number
 * @param faultsEnd after it nothing is wrong any more
 */
public record FaultSchedule(
    long seed, int fronts, int zones, List<Fault> faults, Moment faultsEnd, Moment end) {
  /**
   * Troubles drawn from a seed: so many, of spans from a blip to half a minute, and now and then a
   * whole zone cut off.
   */
  public static FaultSchedule random(long seed, int fronts, int zones, int most, Span round) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<Fault> all = new ArrayList<>();
    Moment quiet = new Moment(0);
    Moment begin = new Moment(0).plus(round);
    for (int i = 0; i < most; i++) {
      Fault.Kind kind = Fault.Kind.values()[chance.nextInt(Fault.Kind.values().length)];
      Moment from = begin.plus(Span.ofMillis(chance.nextInt(40_000)));
      Moment to =
          from.plus(Span.ofMillis(200 + chance.nextInt(chance.nextInt(3) == 0 ? 30_000 : 4_000)));
      if (kind == Fault.Kind.SICK && all.stream().anyMatch(t -> t.kind() == Fault.Kind.SICK)) {
        continue; // several that lie at once are beyond what is promised
      }
      quiet = quiet.orLater(to);
      boolean ofZone = kind == Fault.Kind.MUTE || kind == Fault.Kind.DEAF;
      int a = chance.nextInt(ofZone ? zones : fronts);
      all.add(new Fault(kind, a, chance.nextInt(fronts), from, to));
      if (ofZone && chance.nextInt(2) == 0) {
        all.add(
            new Fault(kind == Fault.Kind.MUTE ? Fault.Kind.DEAF : Fault.Kind.MUTE, a, 0, from, to));
      }
    }
    return new FaultSchedule(
        seed, fronts, zones, List.copyOf(all), quiet, quiet.plus(round.times(2)));
  }

  /** Whether what one sends another is lost on its way. */
  boolean isBlocked(int from, int to, Moment now) {
    return isActive(Fault.Kind.CUT, from, to, now)
        || from % zones != to % zones
            && (isActive(Fault.Kind.MUTE, from % zones, 0, now)
                || isActive(Fault.Kind.DEAF, to % zones, 0, now));
  }

  boolean isActive(Fault.Kind kind, int a, int b, Moment now) {
    for (Fault t : faults) {
      if (t.kind() == kind
          && t.target() == a
          && (kind != Fault.Kind.CUT || t.peer() == b)
          && !now.before(t.from())
          && now.before(t.to())) {
        return true;
      }
    }
    return false;
  }

  /** The same without one of its troubles. */
  public FaultSchedule withoutFault(int trouble) {
    List<Fault> rest = new ArrayList<>(faults);
    rest.remove(trouble);
    return new FaultSchedule(seed, fronts, zones, List.copyOf(rest), faultsEnd, end);
  }
}
