package linengauge.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Member;

/**
 * Control machines and fronts in virtual time, with a log that is one list: enough to set up one
 * case. Whole fleets under faults from seeds are in linengauge.lease.explore.
 */
final class LeaseWorld {
  static final int FIRST_FRONT = 100;
  private static final long LATENCY = 5_000;
  private static final long LOG_DELAY = 30_000;
  private static final long LOG_POLL = 100_000;
  private static final long CHECK = 10_000;

  /** Makes a registrar, for a guard to be taken out. */
  interface RegistrarMaker {
    Registrar make(
        LeaseSettings settings,
        int own,
        List<ControlMachine> all,
        MemberDirectory directory,
        Registrar.Port port,
        SplittableRandom chance);
  }

  /** Makes an agent, for a guard to be taken out. */
  interface AgentMaker {
    LeaseAgent make(
        LeaseSettings settings,
        Member own,
        long incarnation,
        List<ControlMachine> all,
        LeaseAgent.Port port,
        SplittableRandom chance);
  }

  private record Event(long at, long order, Node node, Runnable run) {}

  /** A process: its clock, and until when it stands still. */
  abstract class Node {
    final int number;
    final String address;
    double rate = 1;
    long pausedUntil;
    private long wakeAt = Long.MIN_VALUE;
    boolean up = true;

    Node(int number) {
      this.number = number;
      this.address = "127.0.0.1:" + (7000 + number);
      nodes.put(address, this);
    }

    Moment clock() {
      return new Moment(Math.round(time * rate));
    }

    abstract void heard(String from, LeaseMessage message);

    abstract Moment next();

    abstract void step();

    /** Has itself stepped when it wants to be, as a carrier does. */
    void schedule() {
      long wanted = Math.max(time + 100, Math.round(next().micros() / rate) + 1);
      if (up && (wakeAt <= time || wanted < wakeAt)) {
        wakeAt = wanted;
        at(wanted, this, this::wake);
      }
    }

    private void wake() {
      wakeAt = Long.MIN_VALUE;
      if (up && !clock().isBefore(next())) {
        step();
      }
    }
  }

  /** A control machine with its copy of the log. */
  final class Control extends Node implements Registrar.Port {
    final ControlMachine machine;
    final MemberDirectory directory = new MemberDirectory(settings);
    final Registrar registrar;
    int applied;
    boolean followsLog = true;

    /** Who it thinks leads, where that is not the truth; -2: it knows the truth. */
    int believes = -2;

    /** What it proposes is decided so much later than it was told. */
    long proposalDelay = LOG_DELAY;

    boolean toldUndecided;

    Control(ControlMachine machine, RegistrarMaker maker, long seed) {
      super(machine.number());
      this.machine = machine;
      registrar =
          maker.make(
              settings, machine.number(), machines, directory, this, new SplittableRandom(seed));
    }

    @Override
    public void send(String to, LeaseMessage message) {
      LeaseWorld.this.send(this, to, message);
    }

    @Override
    public void propose(byte[] decision, Consumer<Boolean> ended) {
      boolean undecided = toldUndecided;
      at(
          time + proposalDelay,
          null,
          () -> {
            decide(number, decision);
            if (!undecided) {
              at(time + LATENCY, this, () -> catchUp(ended));
            }
          });
      if (undecided) {
        at(time + LOG_DELAY, this, () -> ended.accept(false));
      }
    }

    private void catchUp(Consumer<Boolean> ended) {
      applyLog();
      ended.accept(true);
    }

    private void applyLog() {
      if (!followsLog) {
        return;
      }
      while (applied < log.size()) {
        directory.apply(applied + 1, 0, log.get(applied++));
      }
      registrar.control(clock(), believes == -2 ? leader : believes, Span.ofMillis(5));
      registrar.decided(clock());
    }

    void pollLog() {
      if (up) {
        applyLog();
      }
      at(time + LOG_POLL, this, this::pollLog);
    }

    @Override
    void heard(String from, LeaseMessage message) {
      registrar.heard(clock(), from, message);
    }

    @Override
    Moment next() {
      return registrar.next();
    }

    @Override
    void step() {
      registrar.step(clock());
    }
  }

  /** A front. */
  final class Front extends Node implements LeaseAgent.Port {
    final LeaseAgent agent;
    final List<DirectoryEntry> changes = new ArrayList<>();
    int superseded;

    Front(int number, int region, long incarnation, String address, AgentMaker maker) {
      super(number + (address == null ? 0 : 1000));
      Member member = new Member(number, address == null ? this.address : address, region, region);
      agent =
          maker.make(
              settings, member, incarnation, machines, this, new SplittableRandom(number + seed));
    }

    @Override
    public void send(String to, LeaseMessage message) {
      LeaseWorld.this.send(this, to, message);
    }

    @Override
    public void changed(DirectoryEntry entry) {
      changes.add(entry);
    }

    @Override
    public void superseded(Moment now) {
      superseded++;
    }

    @Override
    void heard(String from, LeaseMessage message) {
      agent.heard(clock(), from, message);
    }

    @Override
    Moment next() {
      return agent.next();
    }

    @Override
    void step() {
      agent.step(clock());
    }

    boolean holds() {
      return agent.holdsLease(clock());
    }
  }

  final LeaseSettings settings;
  final long seed;
  final List<ControlMachine> machines = new ArrayList<>();
  final Map<Integer, Control> controls = new TreeMap<>();
  final List<Front> fronts = new ArrayList<>();
  final MemberDirectory truth;

  /** What fronts believed and was not so. */
  final List<String> broken = new ArrayList<>();

  /** Who does not hear whom: sender, receiver. */
  BiPredicate<Node, Node> cut = (from, to) -> false;

  /** What is lost: sender and message. */
  BiPredicate<Node, LeaseMessage> lost = (from, message) -> false;

  /** What becomes of a message on its way. */
  UnaryOperator<LeaseMessage> tamper = message -> message;

  int leader;
  long time = 1_000_000;
  long bytesToFronts;
  double doubled;
  long jitter;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<byte[]> log = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private final SplittableRandom chance;
  private long order;

  /** So many control machines in each region, numbered from 0. */
  LeaseWorld(LeaseSettings settings, long seed, int... machinesInRegion) {
    this(settings, seed, Registrar::new, machinesInRegion);
  }

  LeaseWorld(LeaseSettings settings, long seed, RegistrarMaker maker, int... machinesInRegion) {
    this.settings = settings;
    this.seed = seed;
    this.chance = new SplittableRandom(seed);
    this.truth = new MemberDirectory(settings);
    int number = 0;
    for (int region = 0; region < machinesInRegion.length; region++) {
      for (int i = 0; i < machinesInRegion[region]; i++) {
        machines.add(new ControlMachine(number, region, "127.0.0.1:" + (7000 + number)));
        number++;
      }
    }
    for (ControlMachine machine : machines) {
      Control control = new Control(machine, maker, seed * 31 + machine.number());
      controls.put(machine.number(), control);
      control.registrar.start(control.clock());
      control.pollLog();
    }
    check();
  }

  Front front(int number, int region, long incarnation) {
    return front(number, region, incarnation, null, LeaseAgent::new);
  }

  Front front(int number, int region, long incarnation, String address, AgentMaker maker) {
    Front front = new Front(number, region, incarnation, address, maker);
    fronts.add(front);
    front.agent.start(front.clock());
    return front;
  }

  /** So many fronts in a region, from a number on. */
  void fronts(int first, int count, int region) {
    for (int i = 0; i < count; i++) {
      front(first + i, region, 1000);
    }
  }

  private void send(Node from, String to, LeaseMessage message) {
    Node receiver = nodes.get(to);
    if (receiver == null || !from.up || cut.test(from, receiver) || lost.test(from, message)) {
      return;
    }
    if (receiver instanceof Front) {
      bytesToFronts += LeaseCodec.size(message);
    }
    int copies = doubled > 0 && chance.nextDouble() < doubled ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long late = jitter == 0 ? 0 : chance.nextLong(jitter);
      at(
          time + LATENCY + late,
          receiver,
          () -> {
            if (receiver.up) {
              byte[] bytes = LeaseCodec.write(tamper.apply(message));
              receiver.heard(from.address, LeaseCodec.read(bytes, bytes.length));
            }
          });
    }
  }

  private void decide(int author, byte[] decision) {
    log.add(decision);
    truth.apply(log.size(), author, decision);
  }

  void decide(DirectoryChange... changes) {
    decide(0, MemberDirectory.encode(List.of(changes)));
  }

  private void check() {
    for (Front front : fronts) {
      DirectoryEntry entry = truth.entry(front.number % 1000);
      boolean listed =
          entry != null
              && entry.state() == DirectoryEntry.State.PRESENT
              && entry.incarnation() >= front.agent.incarnation();
      if (front.up && front.pausedUntil <= time && front.holds() && !listed) {
        broken.add("front " + front.number + " holds its lease unlisted at " + time);
      }
    }
    at(time + CHECK, null, this::check);
  }

  void at(long when, Node node, Runnable run) {
    events.add(new Event(when, order++, node, run));
  }

  /** The process does nothing until so much later; what comes waits. */
  void pause(Node node, long millis) {
    node.pausedUntil = time + millis * 1000;
  }

  void run(long millis) {
    long until = time + millis * 1000;
    nodes.values().forEach(Node::schedule);
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event event = events.poll();
      if (event.node() != null && event.node().pausedUntil > event.at()) {
        at(event.node().pausedUntil, event.node(), event.run());
        continue;
      }
      time = event.at();
      event.run().run();
      if (event.node() != null) {
        event.node().schedule();
      }
    }
    time = until;
  }

  boolean present(int number) {
    DirectoryEntry entry = truth.entry(number);
    return entry != null && entry.state() == DirectoryEntry.State.PRESENT;
  }

  long presentCount() {
    return truth.presentCount();
  }

  /** Of all fronts that run, how many have a view like the truth. */
  long alike() {
    return fronts.stream()
        .filter(front -> front.up)
        .filter(front -> front.agent.view().version() == truth.version())
        .filter(front -> front.agent.view().digest() == truth.digest())
        .count();
  }
}
