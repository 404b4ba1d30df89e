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
 * Fronts that tell each other of themselves, in virtual time, over ways that lose, hold up and
 * double what is sent. It judges by what it does to them itself and by what each holds, never by a
 * front's reasons.
 */
public final class FleetSimulation {
  /**
   * What was broken, and when; the figures of the run.
   *
   * @param falseSuspicions how often a front began by itself to suspect one that nothing ailed
   * @param detectionDelays of each front that held a dead one for dead, how long after it had died
   */
  public record Outcome(
      List<String> violations,
      long datagrams,
      int maxBytesPerSecond,
      int falseSuspicions,
      List<Span> detectionDelays) {}

  /** Makes a front's core; one that lacks a guard, to see what it guards. */
  public interface MembershipFactory {
    Membership create(
        MembershipSettings terms,
        Member own,
        long incarnation,
        List<String> seeds,
        Membership.Port port,
        SplittableRandom chance);
  }

  private record Due(Moment at, long number, Runnable deed) {}

  private final class Front implements Membership.Port {
    private final int number;
    private final Member member;
    private Membership core;
    private int life;
    private Moment wakesAt;
    private boolean up;
    private boolean stepping;
    private final ArrayDeque<Runnable> unread = new ArrayDeque<>();
    private int bytes;
    private long second;

    /** The incarnation of each other that this life holds. */
    private final Map<Integer, Long> seen = new HashMap<>();

    private Front(int number) {
      this.number = number;
      this.member = new Member(number, "10.0.0." + number + ":7000", number % schedule.zones(), 0);
    }

    private void start() {
      life++;
      up = true;
      wakesAt = null;
      unread.clear();
      seen.clear();
      core =
          maker.create(
              terms,
              member,
              now.micros() / 1000 + 1,
              List.of("10.0.0.0:7000", "10.0.0.1:7000"),
              this,
              chance.split());
      core.start(now);
      wake();
    }

    private void wake() {
      Moment next = core.nextStep().orLater(now);
      if (wakesAt != null && !next.before(wakesAt)) {
        return;
      }
      wakesAt = next;
      int mine = life;
      at(
          next,
          () -> {
            if (up && mine == life && next.equals(wakesAt)) {
              run(
                  () -> {
                    wakesAt = null;
                    core.step(now);
                    wake();
                  });
            }
          });
    }

    /** One that is stopped reads and steps when it goes on. */
    private void run(Runnable deed) {
      if (schedule.isActive(Fault.Kind.FREEZE, number, 0, now)) {
        unread.add(deed);
        if (!stepping) {
          stepping = true;
          Moment goesOn =
              schedule.faults().stream()
                  .filter(
                      t ->
                          t.kind() == Fault.Kind.FREEZE
                              && t.target() == number
                              && now.before(t.to()))
                  .map(Fault::to)
                  .max(Moment::compareTo)
                  .orElse(now);
          at(
              goesOn,
              () -> {
                stepping = false;
                List<Runnable> all = List.copyOf(unread);
                unread.clear();
                if (up) {
                  all.forEach(this::run);
                }
              });
        }
      } else {
        deed.run();
      }
    }

    @Override
    public void send(String address, Datagram words) {
      Datagram w = words;
      if (schedule.isActive(Fault.Kind.SICK, number, 0, now)) {
        List<MemberUpdate> nonsense = new ArrayList<>();
        core.members()
            .forEach(
                n ->
                    nonsense.add(
                        new MemberUpdate(n.member(), n.incarnation(), MemberState.DEAD, number)));
        w =
            new Datagram(
                words.kind(),
                number,
                words.sequence(),
                words.argument(),
                nonsense.subList(0, Math.min(20, nonsense.size())));
      }
      byte[] sent = w.encode();
      if (sent.length > Datagram.MAX_BYTES) {
        broken.add(at() + number + " sends " + sent.length + " bytes");
      }
      datagrams++;
      traffic.recordSent(now, number, sent.length);
      if (second != now.micros() / 1_000_000) {
        second = now.micros() / 1_000_000;
        bytes = 0;
      }
      bytes += sent.length;
      mostBytes = Math.max(mostBytes, bytes);
      int to = Integer.parseInt(address.substring("10.0.0.".length(), address.indexOf(':')));
      boolean lossy =
          schedule.isActive(Fault.Kind.LOSS, number, 0, now)
              || schedule.isActive(Fault.Kind.LOSS, to, 0, now);
      if (to >= fronts.size()
          || schedule.isBlocked(number, to, now)
          || lossy && chance.nextInt(10) < 3) {
        return;
      }
      int copies = chance.nextInt(50) == 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        at(
            now.plus(new Span(200 + chance.nextInt(lossy ? 150_000 : 5_000))),
            () -> {
              Front f = fronts.get(to);
              if (f.up) {
                traffic.recordReceived(now, to, sent.length);
                int mine = f.life;
                Datagram read = Datagram.decode(sent, sent.length);
                f.run(
                    () -> {
                      if (f.life == mine) {
                        f.core.onDatagram(now, member.address(), read);
                        f.wake();
                      }
                    });
              }
            });
      }
    }

    @Override
    public void stateChanged(MemberUpdate held) {
      Long before = seen.put(held.member().number(), held.incarnation());
      if (before != null && held.incarnation() < before) {
        broken.add(
            at() + number + " holds an older life of " + held.member().number() + " after a newer");
      }
      if (held.state() == MemberState.SUSPECT
          && held.source() == number
          && !troubled(held.member().number())) {
        suspected++;
      }
      if (held.state() == MemberState.DEAD) {
        Moment died = killedAt.get(held.member().number());
        if (died != null) {
          foundAfter.add(now.since(died));
        } else if (!troubled(held.member().number())) {
          broken.add(
              at() + number + " gives up " + held.member().number() + ", which nothing ailed");
        }
      }
    }

    @Override
    public void numberConflict(String address) {
      broken.add(at() + number + " hears its own number from " + address);
    }
  }

  private final MembershipFactory maker;
  private final MembershipSettings terms;
  private final FaultSchedule schedule;
  private final SplittableRandom chance;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private final List<Front> fronts = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();
  private final List<Span> foundAfter = new ArrayList<>();
  private final Map<Integer, Moment> killedAt = new HashMap<>();
  private final TrafficMeter traffic;
  private Moment now = new Moment(0);
  private long number;
  private long datagrams;
  private int mostBytes;
  private int suspected;

  public FleetSimulation(MembershipSettings terms, FaultSchedule schedule) {
    this(terms, schedule, Membership::new);
  }

  public FleetSimulation(
      MembershipSettings terms, FaultSchedule schedule, MembershipFactory maker) {
    this.maker = maker;
    this.terms = terms;
    this.schedule = schedule;
    this.chance = new SplittableRandom(schedule.seed() ^ 0x5bd1e995L);
    this.traffic = new TrafficMeter(schedule.fronts());
  }

  /** What each front sent and received, by second. */
  public TrafficMeter traffic() {
    return traffic;
  }

  private String at() {
    return String.format("%.3f s: ", now.micros() / 1e6);
  }

  private void at(Moment when, Runnable deed) {
    due.add(new Due(when, number++, deed));
  }

  /**
   * Whether anything ails the member or all its ways, within the time that a suspicion may take.
   */
  private boolean troubled(int a) {
    Moment from = now.minus(longestSuspicion());
    long cuts =
        schedule.faults().stream()
            .filter(t -> t.kind() == Fault.Kind.CUT && from.before(t.to()) && !now.before(t.from()))
            .count();
    return cuts > 1
        || schedule.faults().stream()
            .anyMatch(
                t ->
                    from.before(t.to())
                        && !now.before(t.from())
                        && switch (t.kind()) {
                          case CUT -> false; // the others reach it
                          case MUTE, DEAF -> true;
                          case LOSS, KILL, FREEZE -> t.target() == a;
                          case SICK ->
                              t.target()
                                  == a; // it denies nothing; what it says of others is no reason to
                            // give these up
                        });
  }

  private Span longestSuspicion() {
    return terms
        .period()
        .times(
            terms.suspicion() * Math.max(1, Math.log10(schedule.fronts())) * terms.longest() + 6);
  }

  public Outcome run() {
    for (int i = 0; i < schedule.fronts(); i++) {
      Front f = new Front(i);
      fronts.add(f);
      at(new Moment(chance.nextInt(1_000_000)), f::start);
    }
    for (Fault t : schedule.faults()) {
      if (t.kind() == Fault.Kind.KILL) {
        at(
            t.from(),
            () -> {
              fronts.get(t.target()).up = false;
              killedAt.put(t.target(), now);
            });
        at(
            t.to(),
            () -> {
              if (!schedule.isActive(Fault.Kind.KILL, t.target(), 0, now)
                  && !fronts.get(t.target()).up) {
                killedAt.remove(t.target());
                fronts.get(t.target()).start();
              }
            });
      }
    }
    while (!due.isEmpty() && due.peek().at.before(schedule.end())) {
      Due d = due.poll();
      now = d.at;
      d.deed.run();
    }
    comeRound();
    return new Outcome(
        List.copyOf(broken), datagrams, mostBytes, suspected, List.copyOf(foundAfter));
  }

  /** Long after the last trouble everybody holds everybody for there, in their present life. */
  private void comeRound() {
    for (Front f : fronts) {
      List<MemberUpdate> held = f.core.members();
      if (held.size() != fronts.size() - 1) {
        broken.add(at() + f.number + " holds " + held.size() + " of " + (fronts.size() - 1));
      }
      for (MemberUpdate n : held) {
        Front other = fronts.get(n.member().number());
        if (n.state() != MemberState.ALIVE || n.incarnation() != other.core.incarnation()) {
          broken.add(at() + f.number + " holds " + n.member().number() + " for " + n.state());
        }
      }
    }
  }
}
