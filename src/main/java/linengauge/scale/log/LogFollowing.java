package linengauge.scale.log;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;
import linengauge.scale.Measurement;
import linengauge.scale.Measurement.Statistic;

/**
 * One voter and many followers of its log in this process, each with its own connection. Followers
 * ask at the usual rate; changes are decided at a rate that is given.
 */
public final class LogFollowing {
  private static final byte[] KEY =
      "a key for a measurement on loopback".getBytes(StandardCharsets.UTF_8);
  private static final int VOTER = 0;
  private static final long VOTERS_STORE = 7;
  private static final int PAYLOAD_BYTES = 200;
  private static final int ANSWER_MS = 60_000;
  private static final int LOOK_MS = 20;
  private static final Span FRESH = Span.ofSeconds(2);

  /** The voter follows itself: both ends of that connection count. */
  private static final int OTHER_CONNECTIONS = 2;

  /** What one measurement is of. */
  public record Plan(int followers, int seconds, int changesPerMinute) {}

  /** Counts the decisions that were applied; holds nothing else. */
  private static final class Counter implements StateMachine {
    private volatile long applied;

    @Override
    public void apply(long index, long author, byte[] decision) {
      applied = applied + 1; // on the node's thread alone
    }

    @Override
    public byte[] whole() {
      return new byte[0];
    }

    @Override
    public void restore(byte[] whole) {
      // nothing is held
    }
  }

  private final Plan plan;
  private final List<ConsensusNode> nodes = new ArrayList<>();
  private final List<Counter> counters = new ArrayList<>();
  private final List<Double> lags = new ArrayList<>();

  private LogFollowing(Plan plan) {
    this.plan = plan;
  }

  /** Measures; all sockets and files are gone afterwards. */
  public static List<Measurement> measure(Plan plan)
      throws IOException, InterruptedException, SaveFailedException, TimeoutException {
    Path folder = Files.createTempDirectory("log-following");
    LogFollowing run = new LogFollowing(plan);
    try {
      return run.run(folder);
    } finally {
      run.nodes.forEach(ConsensusNode::close);
      remove(folder);
    }
  }

  private static void remove(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private List<Measurement> run(Path folder)
      throws IOException, InterruptedException, SaveFailedException, TimeoutException {
    String address = "127.0.0.1:" + freePort();
    startVoter(address, folder);
    for (int number = 1; number <= plan.followers(); number++) {
      start(settings(number, null, address), null);
    }
    until(this::allFresh);
    long sent = sentBytes();
    long received = receivedBytes();
    long processor = processorNanos();
    long begun = System.nanoTime();
    passTime(begun);
    double seconds = (System.nanoTime() - begun) / 1e9;
    double perFollower = seconds * plan.followers();
    List<Measurement> measured = new ArrayList<>();
    measured.add(figure("bytes sent", "B/s", Statistic.MEAN, (sentBytes() - sent) / perFollower));
    measured.add(
        figure(
            "bytes received", "B/s", Statistic.MEAN, (receivedBytes() - received) / perFollower));
    double percent = (processorNanos() - processor) / 1e9 / perFollower * 100;
    measured.add(
        figure(
            "processor time, the voter's part included", "% of a core", Statistic.MEAN, percent));
    if (!lags.isEmpty()) {
      double mean = lags.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
      double most = lags.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
      measured.add(figure("change in force everywhere after", "s", Statistic.MEAN, mean));
      measured.add(figure("change in force everywhere after", "s", Statistic.MAXIMUM, most));
    }
    return measured;
  }

  private Measurement figure(String quantity, String unit, Statistic statistic, double value) {
    String event =
        plan.changesPerMinute() == 0 ? "quiet" : plan.changesPerMinute() + " changes a minute";
    return new Measurement(
        "log", "front", event, plan.followers(), quantity, unit, statistic, List.of(value));
  }

  private void startVoter(String address, Path folder) throws IOException, SaveFailedException {
    TreeMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    chairs.put(VOTER, new Voters.Chair(VOTERS_STORE, address, true));
    try (ConsensusStore store = new ConsensusStore(folder)) {
      store.save(PersistentState.founding(VOTERS_STORE, new Voters(chairs), new Counter()));
    }
    start(settings(VOTER, address, address), new ConsensusStore(folder));
  }

  private ConsensusNode.Settings settings(int number, String listen, String voter) {
    TreeMap<Integer, String> voters = new TreeMap<>();
    voters.put(VOTER, voter);
    return new ConsensusNode.Settings(
        number,
        listen,
        voters,
        KEY,
        RaftSettings.USUAL,
        LogFollower.Terms.USUAL,
        plan.followers() + OTHER_CONNECTIONS);
  }

  private void start(ConsensusNode.Settings settings, ConsensusStore store) throws IOException {
    Counter counter = new Counter();
    ConsensusNode node =
        new ConsensusNode(settings, store, new Counter(), counter, (how, view) -> {});
    nodes.add(node);
    counters.add(counter);
    node.start();
  }

  private boolean allFresh() {
    return nodes.stream().allMatch(node -> node.view() != null && node.view().age().under(FRESH));
  }

  private void passTime(long begun) throws InterruptedException, TimeoutException {
    long end = begun + plan.seconds() * 1_000_000_000L;
    if (plan.changesPerMinute() == 0) {
      Thread.sleep(plan.seconds() * 1000L);
      return;
    }
    long pause = 60_000L / plan.changesPerMinute();
    long wanted = counters.get(0).applied;
    while (System.nanoTime() < end) {
      wanted++;
      long asked = System.nanoTime();
      nodes.get(VOTER).wants(new byte[PAYLOAD_BYTES], decided -> {});
      long all = wanted;
      until(() -> counters.stream().allMatch(counter -> counter.applied >= all));
      lags.add((System.nanoTime() - asked) / 1e9);
      Thread.sleep(pause);
    }
  }

  private static void until(java.util.function.BooleanSupplier done)
      throws InterruptedException, TimeoutException {
    for (int waited = 0; !done.getAsBoolean(); waited += LOOK_MS) {
      if (waited > ANSWER_MS) {
        throw new TimeoutException("followers did not get what was decided within a minute");
      }
      Thread.sleep(LOOK_MS);
    }
  }

  /** Of the followers, the voter itself left out. */
  private long sentBytes() {
    return nodes.stream().skip(1).mapToLong(node -> node.traffic().sentBytes()).sum();
  }

  private long receivedBytes() {
    return nodes.stream().skip(1).mapToLong(node -> node.traffic().receivedBytes()).sum();
  }

  private static long processorNanos() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }
}
