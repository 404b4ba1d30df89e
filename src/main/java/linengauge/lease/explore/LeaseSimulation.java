package linengauge.lease.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Span;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftMessage;
import linengauge.consensus.Voters;
import linengauge.lease.LeaseCodec;
import linengauge.lease.LeaseMessage;
import linengauge.lease.LeaseSettings;
import linengauge.lease.MemberDirectory;
import linengauge.membership.explore.DetectionFigures;
import linengauge.membership.explore.TrafficMeter;

/**
 * A whole fleet under membership by lease in virtual time, from a seed: real consensus, registrars
 * and agents, with clocks of their own, over ways that lose, double and reorder. The {@link Judge}
 * says which rules the run broke.
 */
public final class LeaseSimulation {
  /** Bytes that a front may send and receive in a second of its worst ten, on the wire. */
  public static final int BUDGET = 10_000;

  private static final Span SECOND = Span.ofSeconds(1);

  /** Fronts of one fleet start within this. */
  private static final int START_WITHIN_MICROS = 1_000_000;

  /** A salt, so that ways and schedules of one seed are not drawn from the same numbers. */
  private static final long SALT = 0x6c656173654cL;

  /**
   * What a run came to.
   *
   * @param broken rules it broke, and when
   * @param version of the directory at the end
   * @param expiries lives that ended for want of a heartbeat
   * @param supersessions how often a front was told that its life is over
   * @param ends how soon an end without a word was known
   */
  public record Outcome(
      List<String> broken,
      long version,
      int expiries,
      int supersessions,
      DetectionFigures ends,
      DetectionFigures leavings) {}

  private final LeaseSettings settings;
  private final LeaseSchedule schedule;
  private final Maker maker;
  private final SplittableRandom chance;
  private final EventQueue events = new EventQueue();
  private final Conditions conditions;
  private final SimulatedNetwork ways;
  private final Judge judge;
  private final List<SimulatedControl> controls = new ArrayList<>();
  private final List<SimulatedFront> fronts = new ArrayList<>();
  private final Map<String, Integer> byAddress = new HashMap<>();
  private final TrafficMeter frontTraffic;
  private final TrafficMeter controlTraffic = new TrafficMeter(Topology.CONTROLS);
  private final TrafficMeter consensusTraffic = new TrafficMeter(Topology.CONTROLS);

  public LeaseSimulation(LeaseSettings settings, LeaseSchedule schedule) {
    this(settings, schedule, Maker.USUAL);
  }

  public LeaseSimulation(LeaseSettings settings, LeaseSchedule schedule, Maker maker) {
    int parties = Topology.front(schedule.fronts());
    this.settings = settings;
    this.schedule = schedule;
    this.maker = maker;
    this.chance = new SplittableRandom(schedule.seed() ^ SALT);
    this.conditions = new Conditions(parties);
    this.ways = new SimulatedNetwork(conditions, events, chance.split());
    this.judge = new Judge(this, parties);
    this.frontTraffic = new TrafficMeter(schedule.fronts());
    makeControls();
    makeFronts();
  }

  private void makeControls() {
    SortedMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    for (int i = 0; i < Topology.VOTERS; i++) {
      chairs.put(i, new Voters.Chair(i, Topology.address(i), true));
    }
    Voters founding = new Voters(chairs);
    for (int i = 0; i < Topology.CONTROLS; i++) {
      PersistentState disk =
          i < Topology.VOTERS
              ? PersistentState.founding(i, founding, new MemberDirectory(settings))
              : null;
      controls.add(new SimulatedControl(i, disk, this));
      byAddress.put(Topology.address(i), i);
    }
  }

  private void makeFronts() {
    for (int i = 0; i < schedule.fronts(); i++) {
      int number = Topology.front(i);
      fronts.add(new SimulatedFront(number, this));
      byAddress.put(Topology.address(number), number);
    }
  }

  /* ---- what its parts read ---- */

  LeaseSettings settings() {
    return settings;
  }

  LeaseSchedule schedule() {
    return schedule;
  }

  Maker maker() {
    return maker;
  }

  EventQueue events() {
    return events;
  }

  Conditions conditions() {
    return conditions;
  }

  SplittableRandom chance() {
    return chance;
  }

  Judge judge() {
    return judge;
  }

  List<SimulatedFront> fronts() {
    return fronts;
  }

  List<SimulatedControl> controls() {
    return controls;
  }

  SimulatedControl control(int number) {
    return controls.get(number);
  }

  SimulatedFront front(int number) {
    return fronts.get(Topology.index(number));
  }

  TrafficMeter frontTraffic() {
    return frontTraffic;
  }

  /** All that control machines send and receive, the log's messages included. */
  TrafficMeter controlTraffic() {
    return controlTraffic;
  }

  /** The log's messages alone. */
  TrafficMeter consensusTraffic() {
    return consensusTraffic;
  }

  /* ---- what is sent ---- */

  void carry(SimulatedProcess from, String address, LeaseMessage message) {
    byte[] bytes = LeaseCodec.write(message);
    if (bytes.length > LeaseCodec.MOST) {
      judge.broken(from.number + " sends " + bytes.length + " bytes");
    }
    sent(from.number, bytes.length);
    Integer to = byAddress.get(address);
    if (to == null) {
      judge.broken(from.number + " sends to " + address + ", where nobody is");
      return;
    }
    String sender = Topology.address(from.number);
    ways.datagram(from.number, to, () -> arrives(sender, to, bytes));
  }

  private void arrives(String sender, int to, byte[] bytes) {
    SimulatedProcess receiver = Topology.isControl(to) ? control(to) : front(to);
    if (!receiver.isUp()) {
      return;
    }
    received(to, bytes.length);
    LeaseMessage message = LeaseCodec.read(bytes, bytes.length);
    if (receiver instanceof SimulatedFront front) {
      front.receive(sender, message);
    } else if (receiver instanceof SimulatedControl control) {
      control.receive(sender, message);
    }
  }

  private void sent(int party, int bytes) {
    if (Topology.isControl(party)) {
      controlTraffic.recordSent(events.now(), party, bytes);
    } else {
      frontTraffic.recordSent(events.now(), Topology.index(party), bytes);
    }
  }

  private void received(int party, int bytes) {
    if (Topology.isControl(party)) {
      controlTraffic.recordReceived(events.now(), party, bytes);
    } else {
      frontTraffic.recordReceived(events.now(), Topology.index(party), bytes);
    }
  }

  /** A message of the log's between two control machines, or within one. */
  void consensus(
      SimulatedControl from,
      SimulatedControl to,
      RaftMessage message,
      Consumer<RaftMessage> hears) {
    boolean travels = from != to;
    int bytes = travels ? message.bytes().length : 0;
    if (travels) {
      controlTraffic.recordSent(events.now(), from.number, bytes);
      consensusTraffic.recordSent(events.now(), from.number, bytes);
    }
    ways.message(
        from.number,
        to.number,
        () -> {
          if (travels && to.isUp()) {
            controlTraffic.recordReceived(events.now(), to.number, bytes);
            consensusTraffic.recordReceived(events.now(), to.number, bytes);
          }
          to.deliver(() -> hears.accept(message));
        });
  }

  /* ---- the run ---- */

  /** Plays the whole schedule. */
  public Outcome play() {
    begin();
    events.runUntil(schedule.end());
    judge.comeRound();
    judge.traffic(frontTraffic);
    return outcome();
  }

  Outcome outcome() {
    return new Outcome(
        judge.brokenRules(),
        judge.version(),
        judge.expiries(),
        judge.supersessions(),
        judge.deaths().ends(),
        judge.deaths().leavings());
  }

  /** Starts everybody, and puts the schedule into the queue. */
  void begin() {
    controls.forEach(SimulatedControl::start);
    for (SimulatedFront front : fronts) {
      events.at(new Moment(chance.nextInt(START_WITHIN_MICROS)), front::start);
    }
    add(schedule.faults());
    events.at(new Moment(0).plus(SECOND), this::second);
  }

  /** Faults that are to befall the fleet as well. */
  void add(List<Fault> faults) {
    for (Fault fault : faults) {
      events.at(fault.from(), () -> begins(fault));
      events.at(fault.to(), () -> ends(fault));
    }
  }

  /** The control machine that leads, or the first where none does. */
  int leader() {
    return controls.stream()
        .filter(SimulatedControl::leads)
        .mapToInt(control -> control.number)
        .findFirst()
        .orElse(0);
  }

  private void second() {
    judge.second();
    events.at(events.now().plus(SECOND), this::second);
  }

  private SimulatedProcess process(int party) {
    return Topology.isControl(party) ? control(party) : front(party);
  }

  private void begins(Fault fault) {
    conditions.begins(fault, events.now());
    switch (fault.kind()) {
      case KILL -> kill(fault.party());
      case RESTART -> front(fault.party()).leave();
      case FREEZE -> process(fault.party()).freeze(fault.to());
      default -> {
        // of ways and disks: the conditions have it
      }
    }
  }

  private void ends(Fault fault) {
    conditions.ends(fault, events.now());
    boolean down = fault.kind() == Fault.Kind.KILL || fault.kind() == Fault.Kind.RESTART;
    if (down && Topology.isControl(fault.party())) {
      control(fault.party()).mayStart();
    } else if (down) {
      front(fault.party()).mayStart();
    }
  }

  private void kill(int party) {
    if (Topology.isControl(party)) {
      control(party).kill();
    } else {
      front(party).kill();
    }
  }
}
