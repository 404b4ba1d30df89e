package linengauge.membership.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Datagram;
import linengauge.membership.Member;
import linengauge.membership.MemberState;
import linengauge.membership.MemberUpdate;
import linengauge.membership.Membership;
import linengauge.membership.MembershipSettings;

/**
 * Simulates fronts in virtual time over a network that loses, delays and duplicates datagrams. It
 * checks invariants against the injected faults and the resulting member tables only, never against
 * the internal reasons of a front.
 */
public final class FleetSimulation {
  /**
   * Violated invariants with their times, and the figures of the run.
   *
   * @param falseSuspicions how often a front itself raised a suspicion of an unaffected member
   * @param detectionDelays for each front that declared a dead member dead, the time since the
   *     death
   */
  public record Outcome(
      List<String> violations,
      long datagrams,
      int maxBytesPerSecond,
      int falseSuspicions,
      List<Span> detectionDelays) {}

  /** Creates the membership of a front. Tests create variants in which a safeguard is disabled. */
  public interface MembershipFactory {
    Membership create(
        MembershipSettings settings,
        Member own,
        long incarnation,
        List<String> seeds,
        Membership.Port port,
        SplittableRandom random);
  }

  private record Event(Moment at, long order, Runnable action) {}

  private final class Front implements Membership.Port {
    private final int number;
    private final Member member;
    private Membership membership;
    private int life;
    private Moment timerAt;
    private boolean up;
    private boolean resumeScheduled;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private int bytesInSecond;
    private long second;

    /** Latest incarnation of each other member seen since the last start. */
    private final Map<Integer, Long> seenIncarnations = new HashMap<>();

    private Front(int number) {
      this.number = number;
      this.member = new Member(number, "10.0.0." + number + ":7000", number % schedule.zones(), 0);
    }

    private void start() {
      life++;
      up = true;
      timerAt = null;
      deferred.clear();
      seenIncarnations.clear();
      membership =
          factory.create(
              settings,
              member,
              now.micros() / 1000 + 1,
              List.of("10.0.0.0:7000", "10.0.0.1:7000"),
              this,
              random.split());
      membership.start(now);
      scheduleTimer();
    }

    private void scheduleTimer() {
      Moment next = membership.nextStep().max(now);
      if (timerAt != null && !next.isBefore(timerAt)) {
        return;
      }
      timerAt = next;
      int timerLife = life;
      scheduleAt(
          next,
          () -> {
            if (up && timerLife == life && next.equals(timerAt)) {
              runOrDefer(
                  () -> {
                    timerAt = null;
                    membership.step(now);
                    scheduleTimer();
                  });
            }
          });
    }

    /** Runs the action, or defers it until the end of the pause if the front is paused. */
    private void runOrDefer(Runnable action) {
      if (schedule.isActive(Fault.Kind.FREEZE, number, 0, now)) {
        deferred.add(action);
        if (!resumeScheduled) {
          resumeScheduled = true;
          Moment resumesAt =
              schedule.faults().stream()
                  .filter(
                      fault ->
                          fault.kind() == Fault.Kind.FREEZE
                              && fault.target() == number
                              && now.isBefore(fault.to()))
                  .map(Fault::to)
                  .max(Moment::compareTo)
                  .orElse(now);
          scheduleAt(
              resumesAt,
              () -> {
                resumeScheduled = false;
                List<Runnable> actions = List.copyOf(deferred);
                deferred.clear();
                if (up) {
                  actions.forEach(this::runOrDefer);
                }
              });
        }
      } else {
        action.run();
      }
    }

    @Override
    public void send(String address, Datagram datagram) {
      Datagram outgoing = datagram;
      if (schedule.isActive(Fault.Kind.SICK, number, 0, now)) {
        List<MemberUpdate> falseDeaths = new ArrayList<>();
        membership
            .members()
            .forEach(
                update ->
                    falseDeaths.add(
                        new MemberUpdate(
                            update.member(), update.incarnation(), MemberState.DEAD, number)));
        outgoing =
            new Datagram(
                datagram.kind(),
                number,
                datagram.sequence(),
                datagram.argument(),
                falseDeaths.subList(0, Math.min(20, falseDeaths.size())));
      }
      byte[] bytes = outgoing.encode();
      if (bytes.length > Datagram.MAX_BYTES) {
        violations.add(timePrefix() + number + " sends " + bytes.length + " bytes");
      }
      datagrams++;
      traffic.recordSent(now, number, bytes.length);
      if (second != now.micros() / 1_000_000) {
        second = now.micros() / 1_000_000;
        bytesInSecond = 0;
      }
      bytesInSecond += bytes.length;
      maxBytesPerSecond = Math.max(maxBytesPerSecond, bytesInSecond);
      int to = Integer.parseInt(address.substring("10.0.0.".length(), address.indexOf(':')));
      boolean lossy =
          schedule.isActive(Fault.Kind.LOSS, number, 0, now)
              || schedule.isActive(Fault.Kind.LOSS, to, 0, now);
      if (to >= fronts.size()
          || schedule.isBlocked(number, to, now)
          || lossy && random.nextInt(10) < 3) {
        return;
      }
      int copies = random.nextInt(50) == 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        scheduleAt(
            now.plus(new Span(200 + random.nextInt(lossy ? 150_000 : 5_000))),
            () -> {
              Front receiver = fronts.get(to);
              if (receiver.up) {
                traffic.recordReceived(now, to, bytes.length);
                int receiverLife = receiver.life;
                Datagram decoded = Datagram.decode(bytes, bytes.length);
                receiver.runOrDefer(
                    () -> {
                      if (receiver.life == receiverLife) {
                        receiver.membership.onDatagram(now, member.address(), decoded);
                        receiver.scheduleTimer();
                      }
                    });
              }
            });
      }
    }

    @Override
    public void stateChanged(MemberUpdate update) {
      Long previous = seenIncarnations.put(update.member().number(), update.incarnation());
      if (previous != null && update.incarnation() < previous) {
        violations.add(
            timePrefix()
                + number
                + " holds an older incarnation of "
                + update.member().number()
                + " after a newer");
      }
      if (update.state() == MemberState.SUSPECT
          && update.source() == number
          && !isAffectedByFault(update.member().number())) {
        falseSuspicions++;
      }
      if (update.state() == MemberState.DEAD) {
        Moment died = killedAt.get(update.member().number());
        if (died != null) {
          detectionDelays.add(now.since(died));
        } else if (!isAffectedByFault(update.member().number())) {
          violations.add(
              timePrefix()
                  + number
                  + " declares "
                  + update.member().number()
                  + " dead, which no fault affects");
        }
      }
    }

    @Override
    public void numberConflict(String address) {
      violations.add(timePrefix() + number + " receives its own number from " + address);
    }
  }

  private final MembershipFactory factory;
  private final MembershipSettings settings;
  private final FaultSchedule schedule;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.order, b.order) : a.at.compareTo(b.at));
  private final List<Front> fronts = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<Span> detectionDelays = new ArrayList<>();
  private final Map<Integer, Moment> killedAt = new HashMap<>();
  private final TrafficMeter traffic;
  private Moment now = new Moment(0);
  private long nextOrder;
  private long datagrams;
  private int maxBytesPerSecond;
  private int falseSuspicions;

  public FleetSimulation(MembershipSettings settings, FaultSchedule schedule) {
    this(settings, schedule, Membership::new);
  }

  public FleetSimulation(
      MembershipSettings settings, FaultSchedule schedule, MembershipFactory factory) {
    this.factory = factory;
    this.settings = settings;
    this.schedule = schedule;
    this.random = new SplittableRandom(schedule.seed() ^ 0x5bd1e995L);
    this.traffic = new TrafficMeter(schedule.fronts());
  }

  /** Returns the traffic of each front by second. */
  public TrafficMeter traffic() {
    return traffic;
  }

  private String timePrefix() {
    return String.format("%.3f s: ", now.micros() / 1e6);
  }

  private void scheduleAt(Moment when, Runnable action) {
    events.add(new Event(when, nextOrder++, action));
  }

  /**
   * Whether a fault affects the member, or all paths to it, within the longest time that a
   * suspicion can last. Of a SICK front only the front itself counts, since it refutes nothing; its
   * reports about other members are no reason to declare those dead. A single CUT does not count
   * either, since other fronts still reach the member; two or more count for every member. So do
   * MUTE and DEAF, which separate each member from some of the others.
   */
  private boolean isAffectedByFault(int front) {
    Moment from = now.minus(longestSuspicion());
    long cuts =
        schedule.faults().stream()
            .filter(
                fault ->
                    fault.kind() == Fault.Kind.CUT
                        && from.isBefore(fault.to())
                        && !now.isBefore(fault.from()))
            .count();
    return cuts > 1
        || schedule.faults().stream()
            .anyMatch(
                fault ->
                    from.isBefore(fault.to())
                        && !now.isBefore(fault.from())
                        && switch (fault.kind()) {
                          case CUT -> false; // reachable through others
                          case MUTE, DEAF -> true;
                          case LOSS, KILL, FREEZE -> fault.target() == front;
                          case SICK -> fault.target() == front; // never refutes
                        });
  }

  /** The maximum suspicion timeout in a fleet of this size, plus a margin of six periods. */
  private Span longestSuspicion() {
    return settings
        .period()
        .times(
            settings.suspicion() * Math.max(1, Math.log10(schedule.fronts())) * settings.longest()
                + 6);
  }

  public Outcome run() {
    for (int i = 0; i < schedule.fronts(); i++) {
      Front front = new Front(i);
      fronts.add(front);
      scheduleAt(new Moment(random.nextInt(1_000_000)), front::start);
    }
    for (Fault fault : schedule.faults()) {
      // A front whose KILL faults overlap restarts at the end of the last one.
      if (fault.kind() == Fault.Kind.KILL) {
        scheduleAt(
            fault.from(),
            () -> {
              fronts.get(fault.target()).up = false;
              killedAt.put(fault.target(), now);
            });
        scheduleAt(
            fault.to(),
            () -> {
              if (!schedule.isActive(Fault.Kind.KILL, fault.target(), 0, now)
                  && !fronts.get(fault.target()).up) {
                killedAt.remove(fault.target());
                fronts.get(fault.target()).start();
              }
            });
      }
    }
    while (!events.isEmpty() && events.peek().at.isBefore(schedule.end())) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    checkConvergence();
    return new Outcome(
        List.copyOf(violations),
        datagrams,
        maxBytesPerSecond,
        falseSuspicions,
        List.copyOf(detectionDelays));
  }

  /**
   * Checks that every front, at the end of the fault-free time, holds every other one as alive, at
   * its current incarnation.
   */
  private void checkConvergence() {
    for (Front front : fronts) {
      List<MemberUpdate> members = front.membership.members();
      if (members.size() != fronts.size() - 1) {
        violations.add(
            timePrefix()
                + front.number
                + " holds "
                + members.size()
                + " of "
                + (fronts.size() - 1));
      }
      for (MemberUpdate update : members) {
        Front other = fronts.get(update.member().number());
        if (update.state() != MemberState.ALIVE
            || update.incarnation() != other.membership.incarnation()) {
          violations.add(
              timePrefix()
                  + front.number
                  + " holds "
                  + update.member().number()
                  + " as "
                  + update.state());
        }
      }
    }
  }
}
