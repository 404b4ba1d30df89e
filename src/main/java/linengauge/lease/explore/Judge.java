package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import linengauge.Moment;
import linengauge.Span;
import linengauge.lease.DirectoryEntry;
import linengauge.lease.LeaseMessage;
import linengauge.lease.MemberDirectory;
import linengauge.membership.explore.TrafficMeter;

/**
 * Judges a run by what was done to the parties and by what each holds, never by their reasons. What
 * counts as listed is the most advanced directory of any replica.
 */
final class Judge {
  /** How long after a fault an expiry may still be owed to it, beyond the lease. */
  private static final Span SLACK = Span.ofSeconds(4);

  /** Its own faults of so long within that time are no cause for an expiry. */
  private static final Span BLIP = Span.ofSeconds(2);

  /**
   * The log's messages count their age from when they come: a view's age may be short by what two
   * of them took on their way.
   */
  private static final Span ON_THE_WAY = Span.ofMillis(400);

  /** So many control machines out of reach of a front are no more than it has to bear. */
  private static final int CONTROLS_BORNE = 2;

  /** Broken rules that are told at the most. */
  private static final int MOST_BROKEN = 20;

  private final LeaseSimulation simulation;
  private final Conditions conditions;
  private final EventQueue events;
  private final List<String> broken = new ArrayList<>();
  private final Map<Long, Long> digests = new HashMap<>();

  /** When any replica first came to a version. */
  private final Map<Long, Moment> reachedAt = new HashMap<>();

  private final DirectoryEntry[] listed;
  private final DetectionTracker deaths;
  private long version;
  private int expiries;
  private int supersessions;

  Judge(LeaseSimulation simulation, int parties) {
    this.simulation = simulation;
    this.conditions = simulation.conditions();
    this.events = simulation.events();
    this.listed = new DirectoryEntry[parties];
    this.deaths = new DetectionTracker(simulation, this);
    digests.put(0L, new MemberDirectory(simulation.settings()).digest());
  }

  List<String> brokenRules() {
    return List.copyOf(broken);
  }

  DetectionTracker deaths() {
    return deaths;
  }

  /** Version of the most advanced directory. */
  long version() {
    return version;
  }

  int expiries() {
    return expiries;
  }

  int supersessions() {
    return supersessions;
  }

  void broken(String what) {
    if (broken.size() < MOST_BROKEN) {
      broken.add(String.format(Locale.ROOT, "%.3f s: %s", events.now().micros() / 1e6, what));
    }
  }

  /* ---- what replicas hold ---- */

  /**
   * A replica may have changed.
   *
   * @param before its version when it was last looked at
   * @return its version now
   */
  long directory(int control, MemberDirectory directory, long before) {
    long now = directory.version();
    if (now == before) {
      return now;
    }
    if (now < before) {
      broken("control machine " + control + " goes back from " + before + " to " + now);
    }
    Long digest = digests.putIfAbsent(now, directory.digest());
    if (digest != null && digest != directory.digest()) {
      broken("control machine " + control + " holds another directory at version " + now);
    }
    if (now > version) {
      advance(directory);
    }
    return now;
  }

  private void advance(MemberDirectory directory) {
    for (DirectoryEntry entry : directory.since(version, Integer.MAX_VALUE)) {
      int number = entry.member().number();
      DirectoryEntry before = listed[number];
      listed[number] = entry;
      if (entry.state() == DirectoryEntry.State.EXPIRED) {
        expiries++;
        expired(entry);
      } else if (entry.state() == DirectoryEntry.State.LEFT) {
        left(entry);
      } else if (before != null && before.incarnation() > entry.incarnation()) {
        broken(number + " is listed with an earlier life after a later one");
      }
    }
    for (long reached = version + 1; reached <= directory.version(); reached++) {
      reachedAt.put(reached, events.now());
    }
    version = directory.version();
  }

  private void left(DirectoryEntry entry) {
    SimulatedFront front = simulation.front(entry.member().number());
    boolean lives = front.isUp() && front.agent().incarnation() == entry.incarnation();
    if (lives && !front.isLeaving()) {
      broken(front.number + " is listed as left, and did not say so");
    }
  }

  private void expired(DirectoryEntry entry) {
    SimulatedFront front = simulation.front(entry.member().number());
    boolean lives = front.isUp() && front.agent().incarnation() == entry.incarnation();
    if (!lives || front.isLeaving()) {
      return;
    }
    if (front.agent().holdsLease(front.clock())) {
      broken(front.number + " expires while it holds its lease by its own clock");
    }
    if (!hasCause(front)) {
      broken(front.number + " expires, and nothing ailed it");
    }
  }

  /** Whether what befell the front is a cause for its expiry. */
  private boolean hasCause(SimulatedFront front) {
    Moment since = events.now().minus(simulation.settings().lease().plus(SLACK));
    Span own = conditions.faultDuration(front.number, since, events.now());
    return BLIP.isShorterThan(own) || controlsOutOfReach(front, since) > CONTROLS_BORNE;
  }

  /** Whether anything that it need not bear befell the front within a lease and some slack. */
  boolean ailed(SimulatedFront front) {
    Moment since = events.now().minus(simulation.settings().lease().plus(SLACK));
    return conditions.wasFaultySince(front.number, since)
        || controlsOutOfReach(front, since) > CONTROLS_BORNE;
  }

  private long controlsOutOfReach(SimulatedFront front, Moment since) {
    long many = 0;
    for (int control = 0; control < Topology.CONTROLS; control++) {
      boolean ails =
          conditions.wasFaultySince(control, since)
              || conditions.wasLinkCutSince(front.number, control, since)
              || wayToControlsCut(control, since)
              || otherRegionCut(front, control, since);
      many += ails ? 1 : 0;
    }
    return many;
  }

  /** A front of a region that is cut off stays listed: that its own is cut is no reason. */
  private boolean otherRegionCut(SimulatedFront front, int control, Moment since) {
    int region = Topology.region(control);
    return region != Topology.region(front.number) && conditions.wasRegionCutSince(region, since);
  }

  private boolean wayToControlsCut(int control, Moment since) {
    for (int other = 0; other < Topology.CONTROLS; other++) {
      if (other != control && conditions.wasLinkCutSince(control, other, since)) {
        return true;
      }
    }
    return false;
  }

  /* ---- what fronts hold ---- */

  void begins(SimulatedFront front) {
    deaths.begins(front, true);
  }

  void ended(SimulatedFront front) {
    deaths.ended(front);
  }

  void leaves(SimulatedFront front) {
    deaths.leaves(front);
  }

  void learned(SimulatedFront front, DirectoryEntry entry) {
    deaths.learned(front, entry);
  }

  /** A front was told that its life is over. */
  void superseded(SimulatedFront front, long incarnation) {
    supersessions++;
    deaths.begins(front, false);
    DirectoryEntry entry = listed[front.number];
    boolean present =
        entry != null
            && entry.state() == DirectoryEntry.State.PRESENT
            && entry.incarnation() == incarnation;
    if (present) {
      broken(front.number + " is told that its life is over, and it is listed");
    }
  }

  /** A front has taken in all that it was told of. */
  void complete(SimulatedFront front, LeaseMessage.Acknowledgement told) {
    if (front.agent().view().digest() != told.digest()) {
      broken(front.number + " holds another directory than it was told, at " + told.latest());
    }
    Long digest = digests.get(told.latest());
    if (digest == null) {
      broken(front.number + " is told of version " + told.latest() + ", which no replica had");
    } else if (digest != told.digest()) {
      broken(front.number + " is told of another directory at version " + told.latest());
    }
  }

  /** Looks at all fronts; once in a virtual second. */
  void second() {
    for (SimulatedFront front : simulation.fronts()) {
      if (front.isUp()) {
        lookAt(front);
      }
    }
  }

  private void lookAt(SimulatedFront front) {
    long incarnation = front.agent().incarnation();
    if (front.agent().holdsLease(front.clock()) && !isListed(front.number, incarnation)) {
      broken(front.number + " believes that it holds its lease, and is not listed");
    }
    long held = front.agent().view().version();
    Long digest = digests.get(held);
    boolean whole = held != 0 && held == front.completeVersion();
    if (whole && digest != null && digest != front.agent().view().digest()) {
      broken(front.number + " holds another directory at version " + held);
    }
    if (whole) {
      lookAtAge(front, held);
    }
    if (held > version) {
      broken(front.number + " holds version " + held + ", which no replica has");
    }
  }

  /** A view that misses a change says that it is as old as that, but for its clock's rate. */
  private void lookAtAge(SimulatedFront front, long held) {
    Moment missed = reachedAt.get(held + 1);
    if (missed == null) {
      return;
    }
    Span missing = events.now().since(missed);
    Span said = front.agent().age(front.clock());
    Span least = missing.times(1 - simulation.settings().drift()).minus(ON_THE_WAY);
    if (said.isShorterThan(least)) {
      broken(front.number + " misses what changed " + missing + " ago, and says " + said);
    }
  }

  private boolean isListed(int number, long incarnation) {
    DirectoryEntry entry = listed[number];
    return entry != null
        && entry.state() == DirectoryEntry.State.PRESENT
        && entry.incarnation() == incarnation;
  }

  /* ---- the end ---- */

  /** No front sent and received more than its budget, from its start on. */
  void traffic(TrafficMeter traffic) {
    int seconds = (int) (events.now().micros() / 1_000_000);
    double worst = traffic.figures(0, seconds).worstTotal();
    if (worst > LeaseSimulation.BUDGET) {
      broken(String.format(Locale.ROOT, "a front sent and received %.0f bytes a second", worst));
    }
  }

  /** Long after the last fault everybody holds everybody, in the present life. */
  void comeRound() {
    long wanted = digests.getOrDefault(version, 0L);
    for (SimulatedFront front : simulation.fronts()) {
      if (!front.isUp()) {
        broken(front.number + " is down at the end");
        continue;
      }
      if (!isListed(front.number, front.agent().incarnation())) {
        broken(front.number + " is not listed at the end: " + listed[front.number]);
      }
      long held = front.agent().view().version();
      if (held != version || front.agent().view().digest() != wanted) {
        broken(front.number + " holds version " + held + " at the end, not " + version);
      }
    }
    for (SimulatedControl control : simulation.controls()) {
      long held = control.directory().version();
      if (held != version) {
        broken("control machine " + control.number + " holds " + held + ", not " + version);
      }
      if (control.directory().unreachable() != 0) {
        broken("regions cannot be reached at the end: " + control.directory().unreachable());
      }
    }
  }
}
