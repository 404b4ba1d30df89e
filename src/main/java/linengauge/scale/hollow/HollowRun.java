package linengauge.scale.hollow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import linengauge.Span;
import linengauge.scale.hollow.HollowFigures.FleetFigures;
import linengauge.scale.hollow.HollowFigures.Phase;
import linengauge.scale.hollow.HollowPlan.Method;

/** One run of a plan: its processes, its phases, and what they measured so far. */
final class HollowRun implements AutoCloseable {
  private static final long LOOK_MS = 50;
  private static final long LONGEST_START_MS = 60_000;
  private static final long HEAP_MS = 2500;

  /** How long at the least an event is looked at: so that a wrong expiry would show. */
  private static final double LEAST_LEASES = 2;

  /** It was stopped, or a process failed. */
  private static final class Stopped extends Exception {
    private static final long serialVersionUID = 1;

    private Stopped(String cause) {
      super(cause);
    }
  }

  private final HollowPlan plan;
  private final HollowPorts ports;
  private final LogLinks links;
  private final List<HollowProcess> controls = new ArrayList<>();
  private final Map<Method, List<HollowProcess>> fleets = new EnumMap<>(Method.class);
  private final Map<Method, List<Phase>> phases = new EnumMap<>(Method.class);

  /** Fronts that something was done to in this phase, by number. */
  private final Set<Integer> ailing = new TreeSet<>();

  private volatile boolean stopping;

  HollowRun(HollowPlan plan) throws IOException {
    this.plan = plan;
    this.ports = new HollowPorts(plan.fleet(), plan.machine().firstPort());
    this.links = new LogLinks(ports);
    plan.methods().forEach(method -> phases.put(method, new ArrayList<>()));
  }

  /** Ends the run early; may be called from any thread. */
  void stop() {
    stopping = true;
  }

  HollowFigures play() throws IOException {
    String cause = "";
    try {
      startProcesses();
      startAll();
      quiet();
      for (HollowEvent event : plan.events()) {
        play(event);
      }
    } catch (Stopped e) {
      cause = e.getMessage();
    }
    List<FleetFigures> figures = new ArrayList<>();
    phases.forEach((method, all) -> figures.add(new FleetFigures(method, List.copyOf(all))));
    return new HollowFigures(plan, !cause.isEmpty(), cause, List.copyOf(figures));
  }

  private void startProcesses() throws IOException, Stopped {
    Path folder = Files.createDirectories(plan.machine().folder());
    Path key = folder.resolve("key");
    Files.writeString(key, "a key of hollow fronts " + System.nanoTime());
    if (plan.methods().contains(Method.LEASE)) {
      for (int i = 0; i < plan.fleet().controlMachines(); i++) {
        int region = ports.regionOfMachine(i);
        String store = i < plan.fleet().voters() ? folder.resolve("store-" + i).toString() : null;
        HollowSpec spec = spec(i, Method.LEASE, region, new HollowSpec.Files("" + key, store));
        controls.add(new HollowProcess(spec, "hollow-control", region, plan.heapMb(), folder));
      }
      until(() -> controls.stream().allMatch(c -> c.last() != null), LONGEST_START_MS);
      controls.forEach(c -> c.say("go"));
      if (!until(() -> leader() >= 0, LONGEST_START_MS)) {
        throw new Stopped("no control machine has come to lead");
      }
    }
    for (Method method : plan.methods()) {
      List<HollowProcess> fleet = new ArrayList<>();
      fleets.put(method, fleet);
      for (int i = 0; i < plan.fleet().processes(); i++) {
        int region = plan.fleet().regionOfZone(plan.fleet().zoneOfProcess(i));
        HollowSpec spec = spec(i, method, region, new HollowSpec.Files("" + key, null));
        fleet.add(new HollowProcess(spec, "hollow-fronts", region, plan.heapMb(), folder));
      }
    }
    if (!until(() -> all().stream().allMatch(p -> p.last() != null), LONGEST_START_MS)) {
      throw new Stopped("not all processes have started");
    }
  }

  private HollowSpec spec(int index, Method method, int region, HollowSpec.Files files) {
    return new HollowSpec(
        index,
        method,
        plan.fleet(),
        plan.followersEach(),
        plan.lease(),
        plan.gossip(),
        plan.machine().firstPort(),
        new TreeMap<>(links.waysFrom(region)),
        files);
  }

  private List<HollowProcess> all() {
    List<HollowProcess> all = new ArrayList<>();
    fleets.values().forEach(all::addAll);
    return all;
  }

  /** Whom most control machines take for the one that leads, or -1. */
  private int leader() {
    Map<Integer, Integer> votes = new TreeMap<>();
    for (HollowProcess control : controls) {
      if (!control.isKilled() && control.last() != null) {
        votes.merge(control.last().leader(), 1, Integer::sum);
      }
    }
    return votes.entrySet().stream()
        .filter(e -> e.getKey() >= 0 && 2 * e.getValue() > controls.size())
        .map(Map.Entry::getKey)
        .findFirst()
        .orElse(-1);
  }

  private void startAll() throws IOException, Stopped {
    all().forEach(p -> p.say("watch on"));
    long from = System.currentTimeMillis();
    all().forEach(p -> p.say("go"));
    follow("start", from, from, Span.NONE);
    sleep(plan.times().settle());
  }

  private void quiet() throws Stopped {
    all().forEach(p -> p.say("watch off"));
    sleep(Span.ofMillis(500));
    long from = System.currentTimeMillis();
    sleep(plan.times().quiet());
    long until = System.currentTimeMillis();
    all().forEach(p -> p.say("heap"));
    controls.forEach(p -> p.say("heap"));
    sleep(Span.ofMillis(HEAP_MS));
    for (Method method : plan.methods()) {
      note("quiet", method, from, until, -1);
    }
  }

  private void play(HollowEvent event) throws IOException, Stopped {
    ailing.clear();
    all().forEach(p -> p.say("watch on"));
    sleep(Span.ofMillis(500));
    long from = System.currentTimeMillis();
    Span lasting = act(event);
    sleep(lasting);
    if (event instanceof HollowEvent.CutRegion cut) {
      links.cut(cut.region(), null);
      inRegion(cut.region()).forEach(p -> p.say("heal"));
    }
    follow(
        event.name(), from, System.currentTimeMillis(), plan.lease().lease().times(LEAST_LEASES));
  }

  /** How long it lasts. */
  private Span act(HollowEvent event) throws IOException {
    if (event instanceof HollowEvent.RestartFronts restart) {
      restart(restart.percent());
    } else if (event instanceof HollowEvent.KillProcess kill) {
      fleets.values().forEach(fleet -> kill(fleet.get(kill.process())));
    } else if (event instanceof HollowEvent.FreezeRegion freeze) {
      for (HollowProcess process : inRegion(freeze.region())) {
        process.freeze(freeze.lasting());
      }
      ailRegion(freeze.region());
      return freeze.lasting();
    } else if (event instanceof HollowEvent.CutRegion cut) {
      links.cut(cut.region(), cut.direction());
      inRegion(cut.region()).forEach(p -> p.say("cut " + cut.direction()));
      ailRegion(cut.region());
      return cut.lasting();
    } else if (event instanceof HollowEvent.KillLeader && leader() >= 0) {
      controls.get(leader()).kill();
    } else if (event instanceof HollowEvent.FreezeLeader freeze && leader() >= 0) {
      controls.get(leader()).freeze(freeze.lasting());
      return freeze.lasting();
    }
    return Span.NONE;
  }

  private void restart(int percent) {
    for (HollowProcess process : all()) {
      int count = frontsOf(process) * percent / 100;
      int first = plan.fleet().firstFront(process.spec().index());
      for (int i = first; i < first + count; i++) {
        ailing.add(HollowPorts.FIRST_FRONT + i);
      }
      process.say("restart " + count);
    }
  }

  private int frontsOf(HollowProcess process) {
    int index = process.spec().index();
    return plan.fleet().firstFront(index + 1) - plan.fleet().firstFront(index);
  }

  private void kill(HollowProcess process) {
    ail(process);
    process.kill();
  }

  private void ail(HollowProcess process) {
    int first = plan.fleet().firstFront(process.spec().index());
    for (int i = first; i < first + frontsOf(process); i++) {
      ailing.add(HollowPorts.FIRST_FRONT + i);
    }
  }

  private void ailRegion(int region) {
    all().stream().filter(p -> p.region() == region).forEach(this::ail);
  }

  private List<HollowProcess> inRegion(int region) {
    List<HollowProcess> all = all();
    all.addAll(controls);
    return all.stream().filter(p -> p.region() == region && !p.isKilled()).toList();
  }

  /** Looks at the phase until all know, for so long at the least, and notes it. */
  private void follow(String name, long from, long since, Span least) throws Stopped {
    Map<Method, Double> known = new EnumMap<>(Method.class);
    long end = since + plan.times().longestWait().micros() / 1000;
    long leastEnd = since + least.micros() / 1000;
    while (System.currentTimeMillis() < end
        && (known.size() < plan.methods().size() || System.currentTimeMillis() < leastEnd)) {
      sleep(Span.ofMillis(LOOK_MS));
      for (Method method : plan.methods()) {
        long at = known.containsKey(method) ? -1 : knownAt(fleets.get(method), since);
        if (at >= 0) {
          known.put(method, (at - since) / 1000.0);
        }
      }
    }
    long until = System.currentTimeMillis();
    for (Method method : plan.methods()) {
      note(name, method, from, until, known.getOrDefault(method, -1.0));
    }
  }

  /** When the last of the fleet said that all its fronts hold all that live; -1: not yet. */
  private static long knownAt(List<HollowProcess> fleet, long since) {
    List<HollowSample> last = new ArrayList<>();
    for (HollowProcess process : fleet) {
      if (!process.isKilled()) {
        last.add(process.last());
      }
    }
    long expected = last.stream().mapToLong(HollowSample::ownSum).sum();
    for (HollowSample sample : last) {
      boolean agrees =
          sample.at() > since
              && sample.views().size() == 1
              && sample.views().getOrDefault(expected, 0) == sample.fronts();
      if (!agrees) {
        return -1;
      }
    }
    return last.stream().mapToLong(HollowSample::at).max().orElse(-1);
  }

  private void note(String name, Method method, long from, long until, double known) {
    List<HollowProcess> fleet = fleets.get(method);
    List<HollowProcess> ofLease = method == Method.LEASE ? controls : List.of();
    PhaseFigures figures = new PhaseFigures(from, until);
    Set<Integer> wrongly = new TreeSet<>();
    List<HollowProcess> telling = new ArrayList<>(fleet);
    telling.addAll(ofLease);
    telling.forEach(p -> p.samples(from, until).forEach(s -> wrongly.addAll(s.gone())));
    wrongly.removeAll(ailing);
    long heapUntil = System.currentTimeMillis();
    int living = fleet.stream().filter(p -> !p.isKilled()).mapToInt(this::frontsOf).sum();
    phases
        .get(method)
        .add(
            new Phase(
                name,
                figures.seconds(),
                known,
                living,
                figures.fronts(fleet, heapUntil),
                List.copyOf(wrongly),
                figures.controls(ofLease, leader(), heapUntil),
                figures.drops(telling)));
  }

  private void sleep(Span span) throws Stopped {
    long end = System.currentTimeMillis() + span.micros() / 1000;
    do {
      check();
      try {
        Thread.sleep(Math.max(0, Math.min(LOOK_MS, end - System.currentTimeMillis())));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new Stopped("interrupted");
      }
    } while (System.currentTimeMillis() < end);
  }

  private void check() throws Stopped {
    if (stopping) {
      throw new Stopped("stopped");
    }
    for (List<HollowProcess> some : List.of(all(), controls)) {
      for (HollowProcess process : some) {
        if (process.hasFailed()) {
          throw new Stopped("a process has failed: " + process.spec().index());
        }
      }
    }
  }

  private boolean until(java.util.function.BooleanSupplier done, long mostMs) throws Stopped {
    long end = System.currentTimeMillis() + mostMs;
    while (!done.getAsBoolean() && System.currentTimeMillis() < end) {
      sleep(Span.ofMillis(LOOK_MS));
    }
    return done.getAsBoolean();
  }

  @Override
  public void close() {
    List<HollowProcess> all = all();
    all.addAll(controls);
    all.forEach(HollowProcess::kill);
    all.forEach(HollowProcess::close);
    links.close();
  }
}
